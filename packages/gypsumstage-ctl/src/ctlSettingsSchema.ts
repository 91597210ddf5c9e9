import { parseAddress } from "@gypsumstage/shared/parseAddress";
import { z } from "zod";

const addressListSchema = z.string("IP:port, separated by commas")
    .transform(text => text.split(",").map(part => part.trim()))
    .refine(list => list.every(part => parseAddress(part) !== undefined), "IP:port, separated by commas");

/** Schema of the settings of `gypsumctl`: the administration addresses, tried in this order. */
export const ctlSettingsSchema = z.strictObject({
    admin: z.strictObject({ addresses: addressListSchema }, "a section"),
});
