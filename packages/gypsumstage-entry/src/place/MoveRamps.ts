/** Tracks the moves in force and ramps up the fraction of requests that each of them shifts. */
export interface MoveRamps {
    /** Returns the region that a request is moved to, or undefined when it is not moved. */
    readonly chooseRegion: (service: string) => string | undefined;
    /** Records whether a moved request was served in time. */
    readonly observe: (service: string, isHealthy: boolean) => void;
    /** Advances the ramps of all moves by one step where a step is due. */
    readonly advance: () => void;
}
