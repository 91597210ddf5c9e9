/** The instances among which usage caps are divided, as one instance knows them. Times are of the lease clock. */
export interface QuotaRoster {
    /** When each was last live, by name. */
    readonly liveAtMs: ReadonlyMap<string, number>;
    /** Silent instances that are no longer counted, because they use no part themselves. */
    readonly forgotten: ReadonlySet<string>;
    /** Until when this instance uses no part, because the others may not count it. */
    readonly abstainsUntilMs: number;
    /** True from the start of the process until it has used its part for the first time. */
    readonly isNew: boolean;
    readonly updatedAtMs: number;
}
