/** Result of a run of `gypsumctl`. */
export interface CtlResult {
    readonly exitCode: number;
    readonly stdout: string;
    readonly stderr: string;
}
