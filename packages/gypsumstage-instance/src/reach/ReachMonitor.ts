import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import type { AttemptOutcome } from "../upstream/AttemptOutcome.js";

/** Observes whether this instance reaches the endpoints of each service. */
export interface ReachMonitor {
    /** Returns whether connections can be opened to none of a service's endpoints. */
    readonly isCut: (service: string) => boolean;
    /** The same, or until a moment ago, so that the endpoints' health may not be known yet. */
    readonly wasCutLately: (service: string) => boolean;
    /** Returns whether an endpoint of a service responded a moment ago, on a connection of any age. */
    readonly hasContact: (service: string) => boolean;
    /** Names of the services for which `isCut` returns true. */
    readonly cutServices: () => readonly string[];
    /** Records the outcome of an attempt at an endpoint. */
    readonly recordOutcome: (
        endpoint: Pick<UpstreamEndpoint, "id" | "service">,
        outcome: AttemptOutcome,
    ) => void;
    /** Checks the links to a service now, and returns whether any of its endpoints can be reached. */
    readonly check: (service: string) => Promise<boolean>;
    readonly stop: () => void;
}
