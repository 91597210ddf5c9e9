/** Budget of retries and hedges for one service, shared by all instances. */
export interface RetryBudgetConfig {
    /** Retries and hedges allowed for each request received within the window. */
    readonly ratio: number;
    /** Further retries and hedges allowed within the window, for all instances together. */
    readonly slack: number;
    /** Length of the window, in milliseconds. */
    readonly windowMs: number;
}
