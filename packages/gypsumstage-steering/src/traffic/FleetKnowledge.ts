/** What an instance knows of the fleet that it belongs to. */
export interface FleetKnowledge {
    /** Time since its start, in milliseconds. */
    readonly runningMs: number;
    /** Time since it found the first other instance, in milliseconds; undefined when it has found none. */
    readonly joinedMs: number | undefined;
    /** What its settings name as seeds: nobody, itself only, or other instances too. */
    readonly seeds: "none" | "self" | "others";
    /** Whether others would have been found, as this instance could be found by them for long enough. */
    readonly isConfirmedAlone: boolean;
}
