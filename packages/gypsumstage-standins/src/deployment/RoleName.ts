/** Roles of an instance; each runs as a process of its own. */
export type RoleName = "entry" | "lookup" | "steer";
