/** Names of the roles that an instance runs. */
export type RoleName = "entry" | "lookup" | "steer";
