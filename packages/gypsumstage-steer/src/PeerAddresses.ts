/** Addresses (`IP:port`) of other steer processes. */
export interface PeerAddresses {
    /** Processes in the data centre of this instance. */
    readonly local: readonly string[];
    /** Processes in other data centres, or in one that is not known. */
    readonly remote: readonly string[];
}
