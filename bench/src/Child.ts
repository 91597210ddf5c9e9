/** A child process of a benchmark. */
export interface Child {
    readonly pid: number;
    readonly stop: () => Promise<void>;
}
