import type { IntentChange } from "@gypsumstage/domain/IntentChange";
import { success } from "@gypsumstage/shared/success";
import { createOutput } from "./createOutput.js";
import type { CtlCommand } from "./CtlCommand.js";
import { formatChanges } from "./formatChanges.js";
import { readIntentFile } from "./readIntentFile.js";

/**
 * Creates the command that compares an intent file with the intent in force.
 *
 * @param file - path of the intent file
 * @returns the command, whose result is the list of differences
 */
export const diffCommand = (file: string): CtlCommand => async client => {
    const intent = readIntentFile(file);
    if (!intent.ok) {
        return intent;
    }
    const res = await client.post<{ readonly changes: readonly IntentChange[]; }>("/v1/intent/check", {
        sections: intent.value.sections,
    });
    return res.ok ? success(createOutput(res.value, formatChanges(res.value.changes))) : res;
};
