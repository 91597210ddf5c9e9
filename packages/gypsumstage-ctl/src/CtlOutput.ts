/** Output and exit code of a command that completed without an error. */
export interface CtlOutput {
    /** Printed with `--json`. */
    readonly data: unknown;
    /** Human-readable text, printed without `--json`. */
    readonly text: string;
    readonly exitCode: number;
}
