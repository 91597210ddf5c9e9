import tsdoc from "eslint-plugin-tsdoc";
import tseslint from "typescript-eslint";

const countExports = node => {
    if (node.type === "ExportNamedDeclaration") {
        if (node.declaration?.type === "VariableDeclaration") {
            return node.declaration.declarations.length;
        }
        return node.declaration ? 1 : node.specifiers.length;
    }
    return node.type === "ExportDefaultDeclaration" || node.type === "ExportAllDeclaration" ? 1 : 0;
};

const nameOfExport = node => node.declaration?.id?.name ?? node.declaration?.declarations?.[0]?.id?.name;

const house = {
    rules: {
        "one-export": {
            create: context => ({
                "Program:exit": program => {
                    const exported = program.body.filter(node => countExports(node) > 0);
                    const names = new Set(exported.map(nameOfExport));
                    const total = exported.reduce((sum, node) => sum + countExports(node), 0);
                    if (total > 1 && names.size > 1) {
                        context.report({ node: exported[1], message: "A file exports one thing." });
                    }
                },
            }),
        },
        "no-banner": {
            create: context => ({
                Program: program => {
                    const first = context.sourceCode.getAllComments()[0];
                    if (first && /licen[sc]e|copyright|all rights reserved/i.test(first.value)) {
                        context.report({ node: program, message: "Source files carry no licence notice or banner." });
                    }
                },
            }),
        },
        "documented-export": {
            create: context => ({
                ExportNamedDeclaration: node => {
                    const before = context.sourceCode.getCommentsBefore(node).at(-1);
                    if (!before || before.type !== "Block" || !before.value.startsWith("*")) {
                        context.report({ node, message: "An exported item has a TSDoc comment." });
                    }
                },
            }),
        },
    },
};

export default tseslint.config(
    { ignores: ["**/dist/**", "**/node_modules/**", "target/**"] },
    ...tseslint.configs.strict,
    {
        files: ["packages/*/src/**/*.ts", "platform/src/**/*.ts", "bench/src/**/*.ts"],
        plugins: { tsdoc, house },
        rules: {
            "tsdoc/syntax": "error",
            "house/one-export": "error",
            "house/no-banner": "error",
            "curly": ["error", "all"],
            "prefer-const": "error",
            "eqeqeq": "error",
            "no-restricted-syntax": [
                "error",
                { selector: "ForInStatement", message: "Use for..of." },
                { selector: "FunctionDeclaration", message: "Use arrow functions." },
                { selector: "Literal[raw='null']", message: "Use undefined." },
            ],
            "no-underscore-dangle": "error",
            "@typescript-eslint/consistent-type-imports": "error",
        },
    },
    {
        files: ["packages/*/src/**/*.ts", "platform/src/**/*.ts", "bench/src/**/*.ts"],
        ignores: ["**/__tests__/**"],
        rules: { "house/documented-export": "error" },
    },
);
