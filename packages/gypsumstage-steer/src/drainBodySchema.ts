import { z } from "zod";

/** Body of the operations on drains. */
export const drainBodySchema = z.strictObject({
    scope: z.enum(["endpoint", "dataCentre", "region"], "endpoint, dataCentre or region"),
    name: z.string(),
    isForced: z.boolean().default(false),
});
