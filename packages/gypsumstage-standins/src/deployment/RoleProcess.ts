import type { ChildProcess } from "node:child_process";
import type { PlannedInstance } from "./PlannedInstance.js";
import type { RoleName } from "./RoleName.js";

/** The process of a role of an instance. */
export interface RoleProcess {
    readonly instance: PlannedInstance;
    readonly role: RoleName;
    readonly child: ChildProcess;
    /** Resolves when the process exits, with its exit code or the signal that terminated it. */
    readonly exited: Promise<number | string>;
}
