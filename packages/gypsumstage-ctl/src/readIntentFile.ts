import { describeError } from "@gypsumstage/shared/describeError";
import { failure } from "@gypsumstage/shared/failure";
import { parseIni } from "@gypsumstage/shared/parseIni";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import { readFileSync } from "node:fs";
import type { CtlError } from "./CtlError.js";
import type { IntentFile } from "./IntentFile.js";

/**
 * Reads an intent file. The section `[base]` is not part of the intent: `gypsumctl get` writes it, and `apply` sends
 * it back, so that changes made by other operators in the meantime are detected. Entries outside sections are ignored.
 *
 * @param file - path of the intent file
 * @returns the sections and the base; a `request-invalid` error when the file cannot be read
 */
export const readIntentFile = (file: string): Result<IntentFile, CtlError> => {
    try {
        const { base, "": entriesOutsideSections, ...sections } = parseIni(readFileSync(file, "utf8"));
        void entriesOutsideSections;
        const generation = Number(base?.["generation"]);
        return success({ base: Number.isInteger(generation) ? generation : undefined, sections });
    }
    catch (err) {
        return failure({ kind: "request-invalid", reason: `${file}: ${describeError(err)}` });
    }
};
