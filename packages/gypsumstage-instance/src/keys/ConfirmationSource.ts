/** Ways to a confirmation of this instance's copy of the configuration. Each returns whether it gave one; none rejects. */
export interface ConfirmationSource {
    /** Reads the store. */
    readonly readStore: () => Promise<boolean>;
    /** Asks another instance; `isReadWanted` is true when a read of the store that has yet to begin is needed. */
    readonly ask: (address: string, isReadWanted: boolean) => Promise<boolean>;
}
