/** What a run of the command line gave. */
export interface CtlResult {
    readonly exitCode: number;
    readonly stdout: string;
    readonly stderr: string;
}
