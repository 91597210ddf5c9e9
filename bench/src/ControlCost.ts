/** What the steer process costs at one size of the fleet. */
export interface ControlCost {
    /** Part of a core. */
    readonly cpuPart: number;
    readonly residentMb: number;
    /** Bytes of calls with peers, in kilobytes a second. */
    readonly kbPerSecond: number;
    /** Calls to the platform a second. */
    readonly platformPerSecond: number;
}
