/** A kind of notices; keeps the current one for each key. */
export interface NoticeTopic {
    readonly name: string;
    /** Keys of all current notices. */
    readonly keys: () => readonly string[];
    /** Returns the current content for a key, as it is sent; undefined when there is none any more. */
    readonly read: (key: string) => unknown;
    /**
     * Returns whether a notice matters only together with what others may have noticed. It is then sent to a few
     * collectors, which send it to all when it matters.
     */
    readonly isPreliminary: (key: string) => boolean;
    /** Merges content from another instance; returns its key if that changed anything here. */
    readonly merge: (content: unknown) => string | undefined;
    /** Registers a function that is called with the key of each notice of this instance's own that changed. */
    readonly registerListener: (listener: (key: string) => void) => () => void;
}
