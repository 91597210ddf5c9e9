import { parseAddress } from "@gypsumstage/shared/parseAddress";
import { z } from "zod";

const addresses = z.string("IP:port, separated by commas")
    .transform(text => text.split(",").map(part => part.trim()))
    .refine(list => list.every(part => parseAddress(part) !== undefined), "IP:port, separated by commas");

/** Settings of the command line: the administration addresses, tried in this order. */
export const ctlSettingsSchema = z.strictObject({ admin: z.strictObject({ addresses }, "a section") });
