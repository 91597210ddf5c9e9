/** Holds the bytes that this instance sends on each link out of its region under its part of the link's cap. */
export interface LinkPacers {
    /** Waits until the bytes may be sent to a region; rejects when the signal aborts. */
    readonly take: (
        region: string,
        bytes: number,
        length: "short" | "long",
        signal: AbortSignal,
    ) => Promise<void>;
    /** Bytes a second wanted, by resource. */
    readonly demand: () => Readonly<Record<string, number>>;
    /** The teardown. */
    readonly stop: () => void;
}
