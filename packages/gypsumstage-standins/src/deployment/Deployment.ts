import type { Member } from "@gypsumstage/domain/Member";
import type { PlatformStandin } from "../platform/PlatformStandin.js";
import type { FaultProxy } from "../proxy/FaultProxy.js";
import type { UpstreamStandin } from "../upstream/UpstreamStandin.js";
import type { PlannedInstance } from "./PlannedInstance.js";
import type { RoleName } from "./RoleName.js";
import type { RoleProcess } from "./RoleProcess.js";

/** A running deployment: the roles run as processes of their own, the stand-ins in this process. */
export interface Deployment {
    readonly instances: readonly PlannedInstance[];
    readonly platform: PlatformStandin;
    readonly upstreams: readonly UpstreamStandin[];
    readonly proxy: FaultProxy | undefined;
    readonly roles: () => readonly RoleProcess[];
    /** Returns the process of a role that was started last. */
    readonly findRole: (instance: string, role: RoleName) => RoleProcess;
    /** Starts a process for a role that has exited, with the launch of its instance or with another one. */
    readonly restart: (instance: string, role: RoleName, launch?: string) => RoleProcess;
    /** Changes one entry of the platform's list of members. */
    readonly updateMember: (name: string, change: Partial<Pick<Member, "state" | "launch">>) => void;
    readonly stop: () => Promise<void>;
}
