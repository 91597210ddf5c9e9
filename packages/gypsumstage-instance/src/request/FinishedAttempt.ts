import type { AttemptClassification } from "@gypsumstage/steering/traffic/AttemptClassification";
import type { AttemptOutcome } from "../upstream/AttemptOutcome.js";

import type { Reply } from "./Reply.js";

/** The result of an attempt at one endpoint, or through another instance. */
export interface FinishedAttempt {
    readonly endpointId: string;
    readonly classification: AttemptClassification;
    readonly outcome: AttemptOutcome;
    /** True when at least a part of the request was sent to the endpoint. */
    readonly wasSent: boolean;
    /** The reply, when another instance served the request and decided it for good. */
    readonly reply?: Reply;
}
