/** The stored object that refers to the accepted configuration; changed by conditional writes only. */
export interface ConfigurationHead {
    readonly generation: number;
    /** Digest of the accepted configuration; its stored object is keyed by this digest. */
    readonly digest: string;
    /** Identifies the write that created this head. */
    readonly nonce: string;
    /** Earlier writes, latest first, so that a writer finds its own write after others have followed it. */
    readonly history: readonly HeadHistoryEntry[];
}

interface HeadHistoryEntry {
    readonly generation: number;
    readonly digest: string;
    readonly nonce: string;
}
