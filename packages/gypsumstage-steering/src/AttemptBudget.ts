/** Tokens that an entry has for retries and hedges; each retry or hedge takes one token of its kind. */
export interface AttemptBudget {
    readonly retryTokens: number;
    readonly hedgeTokens: number;
}
