/** What a command prints when it has succeeded. */
export interface CtlOutput {
    /** For `--json`. */
    readonly data: unknown;
    /** For people. */
    readonly text: string;
    readonly exitCode: number;
}
