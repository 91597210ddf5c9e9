/** Tokens for the attempts of an entry beyond the first of each request; an attempt takes one of its kind. */
export interface AttemptBudget {
    readonly retryTokens: number;
    readonly hedgeTokens: number;
}
