/** The permits of one usage cap that an instance may grant, from the share of the cap that it has for a time. */
export interface QuotaBucket {
    readonly tokens: number;
    readonly refilledAtMs: number;
    /** Share of the cap, 0 to 1. */
    readonly share: number;
    readonly shareUntilMs: number;
}
