/** An instance that a lookup may return. */
export interface RankedInstance {
    readonly name: string;
    readonly address: string;
    readonly dataCentre: string;
    readonly region: string;
    /** Identifies the entry process; undefined while no entry record was received. */
    readonly incarnation: string | undefined;
}
