import type { AdminError } from "@gypsumstage/domain/AdminError";
import { failure } from "@gypsumstage/shared/failure";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import { z } from "zod";

/**
 * Checks the input of an operation of the administration API.
 *
 * @param schema - what is allowed
 * @param input - the body or query as received
 * @returns the checked input, or the error that names what is wrong
 */
export const checkInput = <Schema extends z.ZodType>(
    schema: Schema,
    input: unknown,
): Result<z.output<Schema>, AdminError> => {
    const parsed = schema.safeParse(input);
    return parsed.success
        ? success(parsed.data)
        : failure({ kind: "request-invalid", reason: z.prettifyError(parsed.error) });
};
