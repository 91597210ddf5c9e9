/** Resource usage of the steer process at one fleet size. */
export interface ControlCost {
    /** CPU usage as a fraction of one core. */
    readonly cpuFraction: number;
    /** Resident memory, in megabytes. */
    readonly residentMb: number;
    /** Bodies of the requests to peers and of their responses, in kilobytes per second. */
    readonly kbPerSecond: number;
    /** Requests to the platform per second. */
    readonly platformPerSecond: number;
}
