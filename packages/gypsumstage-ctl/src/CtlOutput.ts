/** Output and exit code of a command that succeeded. */
export interface CtlOutput {
    /** Printed with `--json`. */
    readonly data: unknown;
    /** Human-readable text, printed without `--json`. */
    readonly text: string;
    readonly exitCode: number;
}
