import type { z } from "zod";
import type { instanceSettingsSchema } from "./instanceSettingsSchema.js";

/** The validated settings of an instance. */
export type InstanceSettings = z.output<typeof instanceSettingsSchema>;
