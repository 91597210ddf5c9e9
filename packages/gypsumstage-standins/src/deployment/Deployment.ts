import type { Member } from "@gypsumstage/domain/Member";
import type { PlatformStandin } from "../platform/PlatformStandin.js";
import type { FaultProxy } from "../proxy/FaultProxy.js";
import type { UpstreamStandin } from "../upstream/UpstreamStandin.js";
import type { PlannedInstance } from "./PlannedInstance.js";
import type { RoleName } from "./RoleName.js";
import type { RoleProcess } from "./RoleProcess.js";

/** A running deployment: each role runs in its own process, the stand-ins run in this process. */
export interface Deployment {
    readonly instances: readonly PlannedInstance[];
    readonly platform: PlatformStandin;
    readonly upstreams: readonly UpstreamStandin[];
    readonly proxy: FaultProxy | undefined;
    /** Returns the processes of all roles, including those that have exited. */
    readonly roles: () => readonly RoleProcess[];
    /** Returns the most recently started process of a role. */
    readonly findRole: (instance: string, role: RoleName) => RoleProcess;
    /** Starts a new process for a role whose process has exited, with the same launch or with the given one. */
    readonly restart: (instance: string, role: RoleName, launch?: string) => RoleProcess;
    /** Changes one member of the platform's list. */
    readonly updateMember: (name: string, change: Partial<Pick<Member, "state" | "launch">>) => void;
    readonly stop: () => Promise<void>;
}
