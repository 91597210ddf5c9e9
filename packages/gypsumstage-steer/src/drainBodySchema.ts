import { z } from "zod";

/** Schema of the request body of the operations on drains. */
export const drainBodySchema = z.strictObject({
    scope: z.enum(["endpoint", "dataCentre", "region"], "endpoint, dataCentre or region"),
    name: z.string(),
    isForced: z.boolean().default(false),
});
