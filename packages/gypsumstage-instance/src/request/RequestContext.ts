import type { Log } from "@gypsumstage/shared/Log";
import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";
import type { Admission } from "../admission/Admission.js";
import type { HeaderCodec } from "../HeaderCodec.js";
import type { InstanceMetrics } from "../InstanceMetrics.js";
import type { KeyTrust } from "../keys/KeyTrust.js";
import type { PeerExchange } from "../peers/PeerExchange.js";
import type { RequestPermits } from "../permits/RequestPermits.js";
import type { UsageCaps } from "../quota/UsageCaps.js";
import type { ReachMonitor } from "../reach/ReachMonitor.js";
import type { Relays } from "../relay/Relays.js";
import type { StopSchedule } from "../StopSchedule.js";
import type { SuspectRequests } from "../suspects/SuspectRequests.js";
import type { ColdRateLimiter } from "../upstream/ColdRateLimiter.js";
import type { EndpointRateLimits } from "../upstream/EndpointRateLimits.js";
import type { EndpointTracker } from "../upstream/EndpointTracker.js";
import type { LeavingEndpoints } from "../upstream/LeavingEndpoints.js";
import type { ResponseMemory } from "../upstream/ResponseMemory.js";
import type { UpstreamPool } from "../upstream/UpstreamPool.js";
import type { BodyMemory } from "./BodyMemory.js";
import type { LoadSourceChoice } from "./LoadSourceChoice.js";
import type { LocalPrimaryShares } from "./LocalPrimaryShares.js";
import type { RegionShiftLimiter } from "./RegionShiftLimiter.js";
import type { RetryBudget } from "./RetryBudget.js";
import type { ServiceChooser } from "./ServiceChooser.js";

/** State and dependencies of an instance that all requests share. */
export interface RequestContext {
    /** The region of this instance. */
    readonly region: string;
    readonly headerCodec: HeaderCodec;
    readonly view: () => FleetView;
    readonly tracker: EndpointTracker;
    readonly pool: UpstreamPool;
    readonly peers: PeerExchange;
    readonly keys: KeyTrust;
    readonly coldRateLimiter: ColdRateLimiter;
    readonly reach: ReachMonitor;
    readonly relays: Relays;
    readonly rateLimits: EndpointRateLimits;
    readonly departures: LeavingEndpoints;
    readonly permits: RequestPermits;
    readonly usageCaps: UsageCaps;
    readonly suspects: SuspectRequests;
    readonly admission: Admission;
    readonly retryBudget: RetryBudget;
    readonly bodyMemory: BodyMemory;
    readonly responseMemory: Pick<ResponseMemory, "hold">;
    readonly chooseService: ServiceChooser;
    readonly choosesByStatedLoad: LoadSourceChoice;
    readonly localPrimaryShare: LocalPrimaryShares;
    readonly regionShiftLimiter: RegionShiftLimiter;
    /** When the requests have to end, once the instance stops. */
    readonly stopSchedule: StopSchedule;
    readonly metrics: InstanceMetrics;
    readonly log: Log;
}
