import type { EntryStatus } from "@gypsumstage/domain/EntryStatus";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import type { ViewSyncRequest } from "@gypsumstage/domain/ViewSyncRequest";
import type { Log } from "@gypsumstage/shared/Log";
import type { RpcClient } from "@gypsumstage/shared/RpcClient";
import type { Store } from "@gypsumstage/shared/Store";
import type { ViewEvent } from "@gypsumstage/steering/ViewEvent";

/** What a role hands to its synchronization with the steer process. */
export interface ViewSyncOptions {
    readonly role: ViewSyncRequest["role"];
    readonly steerAddress: string;
    readonly rpc: RpcClient;
    readonly store: Store<SteeringView, ViewEvent>;
    /** Returns the status to report; undefined in a look-up process. */
    readonly readStatus: () => EntryStatus | undefined;
    readonly log: Log;
}
