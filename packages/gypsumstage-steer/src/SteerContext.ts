import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import type { Platform } from "@gypsumstage/platform/Platform";
import type { InstanceSettings } from "@gypsumstage/shared/InstanceSettings";
import type { Log } from "@gypsumstage/shared/Log";
import type { RpcClient } from "@gypsumstage/shared/RpcClient";
import type { Store } from "@gypsumstage/shared/Store";
import type { ViewEvent } from "@gypsumstage/steering/ViewEvent";
import type { HeadReadTracker } from "./HeadReadTracker.js";
import type { LocalRoles } from "./LocalRoles.js";
import type { OwnRecordProvider } from "./OwnRecordProvider.js";

/** The settings, the steering view, the clients of the platform and of peers, and the trackers that all tasks use. */
export interface SteerContext {
    readonly cfg: InstanceSettings;
    readonly log: Log;
    readonly platform: Platform;
    readonly rpc: RpcClient;
    readonly store: Store<SteeringView, ViewEvent>;
    readonly localRoles: LocalRoles;
    readonly getOwnRecord: OwnRecordProvider;
    readonly headReadTracker: HeadReadTracker;
}
