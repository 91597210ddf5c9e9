/** When the requests of an instance that stops have to end. Times are monotonic, in milliseconds. */
export interface StopSchedule {
    /** Begins the stop; requests in flight are answered at the given time at the latest. */
    readonly begin: (answerAtMs: number) => void;
    /** When requests have to end; undefined while the instance does not stop. */
    readonly answerAtMs: () => number | undefined;
    /** Lets all requests in flight be answered now. */
    readonly end: () => void;
    /** Registers a function that is called when requests in flight are to be answered; at once when that time has come. */
    readonly registerEndListener: (listener: () => void) => () => void;
}
