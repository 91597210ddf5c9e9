/** What a run of the command line gave. */
export interface CtlRun {
    readonly exitCode: number;
    readonly stdout: string;
    readonly stderr: string;
}
