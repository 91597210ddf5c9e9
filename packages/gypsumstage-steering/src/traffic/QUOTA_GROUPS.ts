/** Groups of workspaces, each with its own distributor in a data centre, which spreads the queries over instances. */
export const QUOTA_GROUPS = 3;
