import type { IntentSections } from "@gypsumstage/domain/IntentSections";
import { writeSections } from "@gypsumstage/domain/writeSections";
import { success } from "@gypsumstage/shared/success";
import { createOutput } from "./createOutput.js";
import type { CtlCommand } from "./CtlCommand.js";

/**
 * Makes the command that prints the intent, with its generation as the base of the next change.
 *
 * @returns the command
 */
export const getCommand = (): CtlCommand => async client => {
    const res = await client.get<{ readonly generation: number; readonly sections: IntentSections; }>(
        "/v1/intent",
    );
    if (!res.ok) {
        return res;
    }
    const base = { base: { generation: String(res.value.generation) } };
    return success(createOutput(res.value, writeSections({ ...base, ...res.value.sections })));
};
