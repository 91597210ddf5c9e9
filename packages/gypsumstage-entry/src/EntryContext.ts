import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import type { Platform } from "@gypsumstage/platform/Platform";
import type { InstanceSettings } from "@gypsumstage/shared/InstanceSettings";
import type { Log } from "@gypsumstage/shared/Log";
import type { Store } from "@gypsumstage/shared/Store";
import type { AttemptBudget } from "@gypsumstage/steering/AttemptBudget";
import type { EndpointEvent } from "@gypsumstage/steering/EndpointEvent";
import type { EndpointState } from "@gypsumstage/steering/EndpointState";
import type { KeyTable } from "@gypsumstage/steering/KeyTable";
import type { ViewEvent } from "@gypsumstage/steering/ViewEvent";
import type { Tracer } from "@opentelemetry/api";
import type { Dispatcher } from "undici";
import type { LinkPacers } from "./attempt/LinkPacers.js";
import type { BudgetTracker } from "./classify/BudgetTracker.js";
import type { ClassLimiter } from "./classify/ClassLimiter.js";
import type { LatencyTracker } from "./classify/LatencyTracker.js";
import type { EntryMetrics } from "./EntryMetrics.js";
import type { StoredResponse } from "./keyed/StoredResponse.js";
import type { MoveRamps } from "./place/MoveRamps.js";
import type { PlaceTracker } from "./place/PlaceTracker.js";
import type { SlotQueue } from "./place/SlotQueue.js";

/** The state, tasks and connections of the entry process that are shared by its modules. */
export interface EntryContext {
    readonly cfg: InstanceSettings;
    readonly log: Log;
    /** Identifies this process among the successive processes of the instance. */
    readonly incarnation: string;
    readonly view: Store<SteeringView, ViewEvent>;
    readonly endpoints: Store<readonly EndpointState[], EndpointEvent>;
    readonly placeTracker: PlaceTracker;
    readonly budgetTracker: BudgetTracker;
    readonly classLimiter: ClassLimiter;
    readonly linkPacers: LinkPacers;
    readonly slotQueue: SlotQueue;
    readonly latencyTracker: LatencyTracker;
    readonly attemptBudget: Store<AttemptBudget, "first-attempt" | "retry" | "hedge">;
    readonly moveRamps: MoveRamps;
    readonly keyTable: KeyTable<StoredResponse>;
    readonly platform: Platform;
    readonly dispatcher: Dispatcher;
    readonly tracer: Tracer;
    readonly metrics: EntryMetrics;
    /**
     * Send time of the last successful request to the steer process, on the monotonic clock; before the first one, the
     * current time. Peers are chosen by the ages of records at this time, so that the ages do not increase while the
     * steer process is down.
     */
    readonly viewAtMs: () => number;
    readonly isLeaving: () => boolean;
}
