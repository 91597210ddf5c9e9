/** The object that assigns a caller-made key to the entry that runs it. */
export interface KeyClaim {
    readonly instance: string;
    readonly incarnation: string;
    /** Time of the claim by the claimer's clock, in milliseconds since 1970. */
    readonly madeAtMs: number;
    /** Identifies the write, so that its author recognizes it after a lost answer. */
    readonly nonce: string;
}
