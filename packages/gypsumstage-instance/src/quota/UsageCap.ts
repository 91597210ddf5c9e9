import type { Workspace } from "@gypsumstage/domain/traffic/Workspace";

/** The usage cap of one workspace. */
export type UsageCap = Pick<Workspace, "name" | "requestsPerSecond" | "burst">;
