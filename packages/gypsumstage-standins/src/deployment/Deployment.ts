import type { Member } from "@gypsumstage/domain/Member";
import type { PlatformStandin } from "../platform/PlatformStandin.js";
import type { FaultProxy } from "../proxy/FaultProxy.js";
import type { UpstreamStandin } from "../upstream/UpstreamStandin.js";
import type { PlannedInstance } from "./PlannedInstance.js";
import type { RoleName } from "./RoleName.js";
import type { RoleProcess } from "./RoleProcess.js";

/** A running deployment: the roles as processes, the stand-ins in this process. */
export interface Deployment {
    readonly instances: readonly PlannedInstance[];
    readonly platform: PlatformStandin;
    readonly upstreams: readonly UpstreamStandin[];
    readonly proxy: FaultProxy | undefined;
    readonly roles: () => readonly RoleProcess[];
    readonly findRole: (instance: string, role: RoleName) => RoleProcess;
    /** Starts a role again, with the settings of its instance or with another launch. */
    readonly restart: (instance: string, role: RoleName, launch?: string) => RoleProcess;
    /** Changes one line of the platform's list. */
    readonly updateMember: (name: string, change: Partial<Pick<Member, "state" | "launch">>) => void;
    readonly stop: () => Promise<void>;
}
