import type { CtlOutput } from "./CtlOutput.js";
import { ExitCode } from "./ExitCode.js";

/**
 * Makes the output of a command that succeeded.
 *
 * @param data - for programs
 * @param text - for people
 * @returns the output
 */
export const createOutput = (data: unknown, text: string): CtlOutput => ({
    data,
    text,
    exitCode: ExitCode.done,
});
