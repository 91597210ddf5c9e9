import { describeError } from "@gypsumstage/shared/describeError";
import { failure } from "@gypsumstage/shared/failure";
import { parseIni } from "@gypsumstage/shared/parseIni";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import { readFileSync } from "node:fs";
import type { CtlError } from "./CtlError.js";
import type { IntentFile } from "./IntentFile.js";

/**
 * Reads an intent from a file. The section `[base]` is not a part of the intent: `gypsumctl get` writes it, and
 * `apply` sends it back, so that a change that came between is noticed.
 *
 * @param file - path of the file
 * @returns the intent
 */
export const readIntentFile = (file: string): Result<IntentFile, CtlError> => {
    try {
        const { base, "": loose, ...sections } = parseIni(readFileSync(file, "utf8"));
        void loose;
        const generation = Number(base?.["generation"]);
        return success({ base: Number.isInteger(generation) ? generation : undefined, sections });
    }
    catch (err) {
        return failure({ kind: "request-invalid", reason: `${file}: ${describeError(err)}` });
    }
};
