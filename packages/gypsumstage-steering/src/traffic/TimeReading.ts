/** The clocks of a machine at one moment, in milliseconds. Any of them may stand still while a process is frozen. */
export interface TimeReading {
    /** Monotonic clock of the process. */
    readonly monotonicMs: number;
    /** Time since the machine was started, suspensions included. */
    readonly bootMs: number;
    /** Time of day, which may jump. */
    readonly wallMs: number;
}
