import { success } from "@gypsumstage/shared/success";
import { createOutput } from "./createOutput.js";
import type { CtlCommand } from "./CtlCommand.js";
import { readIntentFile } from "./readIntentFile.js";

/**
 * Makes the command that puts an intent in force.
 *
 * @param file - path of the intent
 * @param givenBase - generation that the operator started from, when the file does not say
 * @returns the command
 */
export const applyCommand = (file: string, givenBase: number | undefined): CtlCommand => async client => {
    const intent = readIntentFile(file);
    if (!intent.ok) {
        return intent;
    }
    const body = { base: givenBase ?? intent.value.base, sections: intent.value.sections };
    const res = await client.post<{ readonly generation: number; }>("/v1/intent", body);
    return res.ok ? success(createOutput(res.value, `accepted as generation ${res.value.generation}`)) : res;
};
