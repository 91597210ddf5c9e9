/** Addresses of other steer processes. */
export interface PeerAddresses {
    /** In the own data centre. */
    readonly local: readonly string[];
    /** Elsewhere, or not known where. */
    readonly remote: readonly string[];
}
