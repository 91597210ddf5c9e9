import { success } from "@gypsumstage/shared/success";
import { createOutput } from "./createOutput.js";
import type { CtlCommand } from "./CtlCommand.js";
import { readIntentFile } from "./readIntentFile.js";

/**
 * Creates the command that applies an intent file.
 *
 * @param file - path of the intent file
 * @param baseOption - generation that the operator started from; takes precedence over the base in the file
 * @returns the command, whose result is the accepted generation
 */
export const applyCommand = (file: string, baseOption: number | undefined): CtlCommand => async client => {
    const intent = readIntentFile(file);
    if (!intent.ok) {
        return intent;
    }
    const body = { base: baseOption ?? intent.value.base, sections: intent.value.sections };
    const res = await client.post<{ readonly generation: number; }>("/v1/intent", body);
    return res.ok ? success(createOutput(res.value, `accepted as generation ${res.value.generation}`)) : res;
};
