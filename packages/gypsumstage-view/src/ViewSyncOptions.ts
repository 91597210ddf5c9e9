import type { EntryStatus } from "@gypsumstage/domain/EntryStatus";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import type { ViewSyncRequest } from "@gypsumstage/domain/ViewSyncRequest";
import type { Log } from "@gypsumstage/shared/Log";
import type { RpcClient } from "@gypsumstage/shared/RpcClient";
import type { Store } from "@gypsumstage/shared/Store";
import type { ViewEvent } from "@gypsumstage/steering/ViewEvent";

/** Options of a role's synchronization with the steer process. */
export interface ViewSyncOptions {
    readonly role: ViewSyncRequest["role"];
    /** `IP:port` of the steer process of the same instance. */
    readonly steerAddress: string;
    readonly rpc: RpcClient;
    /** The role's view; an event is dispatched to it for each part of a response. */
    readonly store: Store<SteeringView, ViewEvent>;
    /** Returns the status to report; undefined in a lookup process. */
    readonly readStatus: () => EntryStatus | undefined;
    readonly log: Log;
}
