/** A token bucket; `tokens` may be negative after a large withdrawal. */
export interface TokenBucket {
    readonly tokens: number;
    readonly refilledAtMs: number;
}
