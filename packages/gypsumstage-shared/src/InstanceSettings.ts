import type { z } from "zod";
import type { instanceSettingsSchema } from "./instanceSettingsSchema.js";

/** The checked settings of one instance. */
export type InstanceSettings = z.output<typeof instanceSettingsSchema>;
