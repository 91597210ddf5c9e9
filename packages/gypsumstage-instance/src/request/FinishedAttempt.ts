import type { AttemptClassification } from "@gypsumstage/steering/traffic/AttemptClassification";
import type { AttemptOutcome } from "../upstream/AttemptOutcome.js";

/** The result of an attempt at one endpoint. */
export interface FinishedAttempt {
    readonly endpointId: string;
    readonly classification: AttemptClassification;
    readonly outcome: AttemptOutcome;
    /** True when at least a part of the request was sent to the endpoint. */
    readonly wasSent: boolean;
}
