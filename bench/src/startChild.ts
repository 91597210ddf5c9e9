import { spawn } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import type { Child } from "./Child.js";

/**
 * Starts a script of this directory in a child process and waits for its first output, which it writes once it listens.
 *
 * @param script - file name of the script, without extension
 * @param args - command line arguments of the script
 * @returns the child process; the owner must stop it
 */
export const startChild = async (script: string, args: readonly string[]): Promise<Child> => {
    const scriptPath = fileURLToPath(new URL(`./${script}.js`, import.meta.url));
    const child = spawn(process.execPath, [scriptPath, ...args], { stdio: ["ignore", "pipe", "inherit"] });
    await once(child.stdout, "data");
    return {
        pid: child.pid ?? 0,
        stop: async () => {
            child.kill("SIGKILL");
            await once(child, "exit");
        },
    };
};
