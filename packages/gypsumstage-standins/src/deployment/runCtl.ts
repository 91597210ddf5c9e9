import { execFile } from "node:child_process";
import { fileURLToPath } from "node:url";
import type { CtlResult } from "./CtlResult.js";

/**
 * Runs `gypsumctl` as a process and waits until it exits.
 *
 * @param args - command-line arguments
 * @returns exit code and output
 */
export const runCtl = (args: readonly string[]): Promise<CtlResult> => {
    const mainFile = fileURLToPath(import.meta.resolve("@gypsumstage/ctl/main"));
    return new Promise(resolve => {
        const child = execFile(process.execPath, [mainFile, ...args], (_err, stdout, stderr) => {
            resolve({ exitCode: child.exitCode ?? -1, stdout, stderr });
        });
    });
};
