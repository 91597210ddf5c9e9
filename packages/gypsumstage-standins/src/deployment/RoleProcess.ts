import type { ChildProcess } from "node:child_process";
import type { PlannedInstance } from "./PlannedInstance.js";
import type { RoleName } from "./RoleName.js";

/** A role of an instance running as a process. */
export interface RoleProcess {
    readonly instance: PlannedInstance;
    readonly role: RoleName;
    readonly child: ChildProcess;
    /** Resolves with the exit code, or the signal, when the process has ended. */
    readonly ended: Promise<number | string>;
}
