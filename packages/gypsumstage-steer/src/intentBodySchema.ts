import { z } from "zod";

/** Schema of the request body of the operations on the intent. */
export const intentBodySchema = z.strictObject({
    base: z.number().int().optional(),
    sections: z.record(z.string(), z.record(z.string(), z.string())),
});
