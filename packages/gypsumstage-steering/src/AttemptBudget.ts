/** Tokens for attempts beyond the first of a request: retries and hedges draw from them. */
export interface AttemptBudget {
    readonly tokens: number;
}
