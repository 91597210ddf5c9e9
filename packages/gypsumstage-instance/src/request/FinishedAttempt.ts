import type { AttemptVerdict } from "@gypsumstage/steering/traffic/AttemptVerdict";
import type { AttemptOutcome } from "../upstream/AttemptOutcome.js";

/** The result of an attempt at one endpoint. */
export interface FinishedAttempt {
    readonly endpointId: string;
    readonly classification: AttemptVerdict;
    readonly outcome: AttemptOutcome;
    /** True when at least a part of the request was sent to the endpoint. */
    readonly wasSent: boolean;
}
