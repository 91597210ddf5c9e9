import { readFileSync } from "node:fs";
import type { z } from "zod";
import { describeError } from "./describeError.js";
import { describeIssues } from "./describeIssues.js";
import { failure } from "./failure.js";
import { parseIni } from "./parseIni.js";
import type { Result } from "./Result.js";
import type { SettingsError } from "./SettingsError.js";
import { success } from "./success.js";

/**
 * Reads an INI file and validates all of it against a schema, so that no process starts with a partly valid
 * configuration.
 *
 * @param file - path of the file
 * @param schema - the allowed sections and keys
 * @returns the settings, or all problems found
 */
export const loadSettings = <Schema extends z.ZodType>(
    file: string,
    schema: Schema,
): Result<z.output<Schema>, SettingsError> => {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (err) {
        return failure({ kind: "file-unreadable", file, reason: describeError(err) });
    }
    const input = parseIni(text);
    const parsed = schema.safeParse(input);
    if (!parsed.success) {
        return failure({
            kind: "settings-invalid",
            file,
            problems: describeIssues(parsed.error.issues, input),
        });
    }
    return success(parsed.data);
};
