import type { LookupAnswer } from "@gypsumstage/domain/LookupAnswer";
import type { CallerRequest } from "./CallerRequest.js";
import type { CallerResult } from "./CallerResult.js";

/** A caller that follows the look-up protocol of docs/CALLERS.md. */
export interface Caller {
    readonly send: (req: CallerRequest) => Promise<CallerResult>;
    /** Returns the look-up response for a service, from the cache until its time to live has passed. */
    readonly lookup: (service: string) => Promise<LookupAnswer>;
    readonly stop: () => Promise<void>;
}
