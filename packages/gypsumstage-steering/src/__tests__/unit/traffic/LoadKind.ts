/** A kind of requests, with its figures. */
export interface LoadKind {
    readonly name: string;
    readonly perSecond: number;
    readonly workMs: number;
    readonly targetMs: number;
    readonly deadlineMs: number;
    readonly priority: number;
}
