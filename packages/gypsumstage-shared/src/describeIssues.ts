import type { z } from "zod";

const formatFoundValue = (input: unknown, path: readonly PropertyKey[]): string => {
    let value = input;
    for (const key of path) {
        value = (value as Record<PropertyKey, unknown> | undefined)?.[key];
    }
    return value === undefined ? "nothing" : JSON.stringify(value);
};

/**
 * Formats validation issues for operators, with the section, the key, the value found and what is allowed.
 *
 * @param issues - issues reported by zod
 * @param input - the validated document
 * @returns one line per issue or unknown key
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
        const location = key === undefined
            ? `[${String(section ?? "")}]`
            : `[${String(section)}] ${String(key)}`;
        return [`${location}: found ${formatFoundValue(input, issue.path)}, allowed: ${issue.message}`];
    });
