// Formats the TypeScript sources, or with --check names the files that are not formatted and exits with 1.
// The formatter is WebAssembly, so it runs on every processor and is installed from the registry alone.
import { createFromBuffer } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import { readdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";

const SKIPPED_FOLDERS = new Set(["node_modules", "dist"]);

const listSources = folder =>
    readdirSync(folder, { withFileTypes: true }).flatMap(entry => {
        const path = join(folder, entry.name);
        if (entry.isDirectory()) {
            return SKIPPED_FOLDERS.has(entry.name) ? [] : listSources(path);
        }
        return entry.name.endsWith(".ts") ? [path] : [];
    });

const { typescript, folders, ...globalConfig } = JSON.parse(readFileSync("dprint.json", "utf8"));
const formatter = createFromBuffer(readFileSync(getPath()));
formatter.setConfig(globalConfig, typescript);
const problems = formatter.getConfigDiagnostics();
if (problems.length > 0) {
    console.error("dprint.json:", problems);
    process.exit(2);
}

const onlyCheck = process.argv.includes("--check");
let changed = 0;
for (const filePath of folders.flatMap(listSources)) {
    const fileText = readFileSync(filePath, "utf8");
    const formatted = formatter.formatText({ filePath, fileText });
    if (formatted === fileText) {
        continue;
    }
    changed += 1;
    console.error(onlyCheck ? `not formatted: ${filePath}` : `formatted: ${filePath}`);
    if (!onlyCheck) {
        writeFileSync(filePath, formatted);
    }
}
process.exit(onlyCheck && changed > 0 ? 1 : 0);
