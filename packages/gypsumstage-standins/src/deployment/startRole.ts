import { spawn } from "node:child_process";
import { fileURLToPath } from "node:url";
import type { PlannedInstance } from "./PlannedInstance.js";
import type { RoleName } from "./RoleName.js";
import type { RoleProcess } from "./RoleProcess.js";

/**
 * Starts a role of an instance as a process; its standard output goes to the standard error of this process.
 *
 * @param instance - the instance
 * @param role - the role
 * @param settingsFile - path of the settings file of the instance
 * @returns the started process, which may not listen yet
 */
export const startRole = (instance: PlannedInstance, role: RoleName, settingsFile: string): RoleProcess => {
    const mainFile = fileURLToPath(import.meta.resolve(`@gypsumstage/${role}/main`));
    const child = spawn(process.execPath, [mainFile, "--config", settingsFile], {
        stdio: ["ignore", process.stderr.fd, "inherit"],
    });
    const exited = new Promise<number | string>(resolve => {
        child.once("exit", (code, signal) => resolve(code ?? signal ?? "unknown"));
    });
    return { instance, role, child, exited };
};
