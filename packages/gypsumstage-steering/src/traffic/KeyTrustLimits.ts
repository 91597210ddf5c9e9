/** How old a confirmation of the configuration may become, in milliseconds. */
export interface KeyTrustLimits {
    /** Age from which on keys are not trusted any more. */
    readonly maxAgeMs: number;
    /** Shortest and longest time between two confirmations. */
    readonly minIntervalMs: number;
    readonly maxIntervalMs: number;
    /** Age up to which the confirmation of another instance is taken without asking a further one. */
    readonly goodAgeMs: number;
    /** Ages at which the first and the last instances read the store themselves. */
    readonly minOwnReadAgeMs: number;
    readonly maxOwnReadAgeMs: number;
}
