import type { LookupAnswer } from "@gypsumstage/domain/LookupAnswer";
import type { CallerRequest } from "./CallerRequest.js";
import type { CallerResult } from "./CallerResult.js";

/** A caller that follows the look-up protocol of docs/CALLERS.md. */
export interface Caller {
    readonly send: (req: CallerRequest) => Promise<CallerResult>;
    /** Returns the current look-up answer of a service. */
    readonly lookup: (service: string) => Promise<LookupAnswer>;
    readonly stop: () => Promise<void>;
}
