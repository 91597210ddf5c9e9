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
 * Reads an INI file and checks it whole against a schema, so that nothing starts half-configured.
 *
 * @param file - path of the file
 * @param schema - what is allowed, by section and key
 * @returns the settings, or every problem found
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
    const checked = schema.safeParse(input);
    if (!checked.success) {
        return failure({
            kind: "settings-invalid",
            file,
            problems: describeIssues(checked.error.issues, input),
        });
    }
    return success(checked.data);
};
