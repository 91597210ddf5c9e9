/** Tokens for attempts beyond the first of a request. */
export interface AttemptBudget {
    readonly retryTokens: number;
    readonly hedgeTokens: number;
}
