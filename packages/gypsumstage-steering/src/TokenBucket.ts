/** Tokens that refill with time; may be below zero after a large take. */
export interface TokenBucket {
    readonly tokens: number;
    readonly refilledAtMs: number;
}
