/** Where the fleet can be found, as it is kept in the platform's store. */
export interface DiscoveryRecord {
    /** Internal addresses of instances of which some are likely to live. */
    readonly addresses: readonly string[];
    /** Revision of the stored object; undefined when there is none yet. */
    readonly revision: number | undefined;
}
