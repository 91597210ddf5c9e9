/** An instance that a look-up may name. */
export interface RankedInstance {
    readonly name: string;
    readonly address: string;
    readonly dataCentre: string;
    readonly region: string;
    /** Identifies the entry process, when it was heard of. */
    readonly incarnation: string | undefined;
}
