/** Shares of the requests that were served, and served on time: of all, by kind, by workspace. */
export interface OverloadResult {
    readonly onTime: number;
    readonly served: number;
    readonly servedByKind: Readonly<Record<string, number>>;
    /** Mean of the worst tenth of the workspaces, relative to all. */
    readonly worstWorkspaces: number;
}
