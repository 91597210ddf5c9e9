/** Token buckets that limit the retries and the hedges of an entry. */
export interface AttemptBudget {
    readonly retryTokens: number;
    readonly hedgeTokens: number;
}
