import { spawn } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import type { Child } from "./Child.js";

/**
 * Starts a script of this folder and waits until it says that it listens.
 *
 * @param script - name of the script without ending
 * @param args - its arguments
 * @returns the child
 */
export const startChild = async (script: string, args: readonly string[]): Promise<Child> => {
    const file = fileURLToPath(new URL(`./${script}.js`, import.meta.url));
    const child = spawn(process.execPath, [file, ...args], { stdio: ["ignore", "pipe", "inherit"] });
    await once(child.stdout, "data");
    return {
        pid: child.pid ?? 0,
        stop: async () => {
            child.kill("SIGKILL");
            await once(child, "exit");
        },
    };
};
