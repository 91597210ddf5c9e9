import type { CtlOutput } from "./CtlOutput.js";
import { ExitCode } from "./ExitCode.js";

/**
 * Creates the output of a command that succeeded, with exit code 0.
 *
 * @param data - value printed as JSON with `--json`
 * @param text - human-readable text
 * @returns the output
 */
export const createOutput = (data: unknown, text: string): CtlOutput => ({
    data,
    text,
    exitCode: ExitCode.done,
});
