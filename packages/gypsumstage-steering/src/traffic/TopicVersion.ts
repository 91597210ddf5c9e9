/** Version of an instance's copy of a topic, by which instances find the more recent copy. */
export interface TopicVersion {
    /** Era of the store to which the revision belongs; 0 when absent. */
    readonly era?: number;
    /** Revision of the last listing or change that was applied to the copy. */
    readonly revision: number;
    /** Number of records; of two copies at the same revision the smaller is later: removed records expired there. */
    readonly count: number;
    /** Digest of the records; undefined in reports of instances that do not know it. */
    readonly digest?: number;
    /** Digest of the carried records; absent when there are none. */
    readonly carried?: number;
}
