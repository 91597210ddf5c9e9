import type { NoticeExchange } from "./notices/NoticeExchange.js";
import type { PermitIssuer } from "./permits/PermitIssuer.js";
import type { RequestPermits } from "./permits/RequestPermits.js";
import type { QuotaHandlers } from "./quota/QuotaHandlers.js";
import type { UsageCaps } from "./quota/UsageCaps.js";
import type { SuspectRequests } from "./suspects/SuspectRequests.js";
import type { EndpointRateLimits } from "./upstream/EndpointRateLimits.js";
import type { LeavingEndpoints } from "./upstream/LeavingEndpoints.js";

/** What instances decide together about requests. */
export interface Coordination {
    readonly rateLimits: EndpointRateLimits;
    readonly departures: LeavingEndpoints;
    readonly suspects: SuspectRequests;
    readonly permits: RequestPermits;
    readonly permitIssuer: PermitIssuer;
    readonly usageCaps: UsageCaps;
    readonly quotaHandlers: QuotaHandlers;
    readonly readNotices: NoticeExchange["readAll"];
    readonly stop: () => Promise<void>;
}
