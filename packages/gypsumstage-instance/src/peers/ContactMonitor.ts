/** Notices when the reports of other instances stop. Times are monotonic, in milliseconds. */
export interface ContactMonitor {
    /** Records a report; `isContact` is true when the sender goes on reporting to this instance. */
    readonly hear: (name: string, isContact: boolean, nowMs: number) => void;
    /** Returns whether a report of the instance came lately. */
    readonly isHeard: (name: string, nowMs: number) => boolean;
    /** When this process last went on after a pause, in which it heard nobody; `-Infinity` without a pause. */
    readonly resumedAtMs: () => number;
    /** Names of the instances whose reports have stopped for half the time after which they are gone. */
    readonly listDoubtful: (nowMs: number) => readonly string[];
    /** Returns each instance once whose reports have stopped for too long. */
    readonly takeSilent: (nowMs: number) => readonly string[];
}
