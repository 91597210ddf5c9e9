import type { LookupResponse } from "@gypsumstage/domain/LookupResponse";
import type { CallerRequest } from "./CallerRequest.js";
import type { CallerResult } from "./CallerResult.js";

/** A caller that follows the lookup protocol of docs/CALLERS.md. */
export interface Caller {
    readonly send: (req: CallerRequest) => Promise<CallerResult>;
    /** Returns the lookup response for a service; it is cached for its time to live. */
    readonly lookup: (service: string) => Promise<LookupResponse>;
    readonly stop: () => Promise<void>;
}
