import type { AdminError } from "@gypsumstage/domain/AdminError";
import { failure } from "@gypsumstage/shared/failure";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import { z } from "zod";

/**
 * Validates the input of an operation of the administration API.
 *
 * @param schema - schema of the input
 * @param input - the body or query as received
 * @returns the parsed input, or a `request-invalid` error that lists the problems
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
