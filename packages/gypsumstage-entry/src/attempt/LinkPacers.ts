/** Limits the bytes that this instance sends on each link out of its region to its share of the cap of the link. */
export interface LinkPacers {
    /** Waits until the bytes may be sent to the region; rejects when the signal aborts. */
    readonly acquire: (
        region: string,
        bytes: number,
        length: "short" | "long",
        signal: AbortSignal,
    ) => Promise<void>;
    /** Returns the demand in bytes per second, by resource. */
    readonly demand: () => Readonly<Record<string, number>>;
    /** Stops the timer that grants waiting calls. */
    readonly stop: () => void;
}
