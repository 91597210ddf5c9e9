/** A key whose home was named by a look-up. */
export interface HomeKey {
    readonly instance: string;
    readonly incarnation: string;
    /** When the caller made the key, in milliseconds since 1970 by the caller's clock. */
    readonly madeAtMs: number;
}
