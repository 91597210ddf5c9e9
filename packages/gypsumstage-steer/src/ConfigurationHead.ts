/** The object that names the accepted configuration; changed by conditional update only. */
export interface ConfigurationHead {
    readonly generation: number;
    /** Digest of the part that holds the configuration. */
    readonly digest: string;
    /** Identifies the write that made this head. */
    readonly nonce: string;
    /** Earlier writes, latest first, so that an author finds its own write after others followed. */
    readonly history: readonly HeadEntry[];
}

interface HeadEntry {
    readonly generation: number;
    readonly digest: string;
    readonly nonce: string;
}
