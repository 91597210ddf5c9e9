/** What all instances together may issue of one usage cap. */
export interface CapBudget {
    readonly ratePerSecond: number;
    /** Largest number of permits that may be accumulated, over all instances. */
    readonly stock: number;
}
