/** A child process that a benchmark has started. */
export interface Child {
    readonly pid: number;
    /** Kills the process and waits until it has exited. */
    readonly stop: () => Promise<void>;
}
