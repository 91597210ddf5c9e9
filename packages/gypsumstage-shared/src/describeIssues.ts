import type { z } from "zod";

const found = (input: unknown, path: readonly PropertyKey[]): string => {
    let value = input;
    for (const step of path) {
        value = (value as Record<PropertyKey, unknown> | undefined)?.[step];
    }
    return value === undefined ? "nothing" : JSON.stringify(value);
};

/**
 * Words the problems that a schema found, naming section, key, what was found and what is allowed.
 *
 * @param issues - the problems as zod lists them
 * @param input - the document that was checked
 * @returns one line a problem
 */
export const describeIssues = (issues: readonly z.core.$ZodIssue[], input: unknown): readonly string[] =>
    issues.flatMap(issue => {
        const [section, key] = issue.path;
        if (issue.code === "unrecognized_keys") {
            return issue.keys.map(name =>
                section === undefined
                    ? `[${name}]: unknown section`
                    : `[${String(section)}] ${name}: unknown key`
            );
        }
        const place = key === undefined
            ? `[${String(section ?? "")}]`
            : `[${String(section)}] ${String(key)}`;
        return [`${place}: found ${found(input, issue.path)}, allowed: ${issue.message}`];
    });
