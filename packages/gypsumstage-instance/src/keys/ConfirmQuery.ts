/** Parameters of the RPC method `policy.confirm`. */
export interface ConfirmQuery {
    /** Era of the store to which the asking instance's copy of the configuration belongs. */
    readonly era: number;
    /** Revision up to which that copy is complete; absent when there is none. */
    readonly since?: number | undefined;
    /** True when the store has to be read before the reply, if the asked instance reads it. */
    readonly isReadWanted: boolean;
}
