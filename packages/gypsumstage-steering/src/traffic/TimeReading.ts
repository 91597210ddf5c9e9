/** The clocks of a machine at one moment, in milliseconds. */
export interface TimeReading {
    /** Monotonic clock of the process, which may stand still while the machine is suspended. */
    readonly monotonicMs: number;
    /** Time of day, which goes on during a suspension but may be set. */
    readonly wallMs: number;
}
