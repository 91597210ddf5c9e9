import { formatIni } from "@gypsumstage/domain/formatIni";
import type { IntentSections } from "@gypsumstage/domain/IntentSections";
import { success } from "@gypsumstage/shared/success";
import { createOutput } from "./createOutput.js";
import type { CtlCommand } from "./CtlCommand.js";

/**
 * Creates the command that prints the intent in force, with its generation as the base of the next change.
 *
 * @returns the command, whose text is an intent file for `gypsumctl apply`
 */
export const getCommand = (): CtlCommand => async client => {
    const res = await client.get<{ readonly generation: number; readonly sections: IntentSections; }>(
        "/v1/intent",
    );
    if (!res.ok) {
        return res;
    }
    const base = { base: { generation: String(res.value.generation) } };
    return success(createOutput(res.value, formatIni({ ...base, ...res.value.sections })));
};
