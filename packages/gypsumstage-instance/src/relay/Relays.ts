import type { Route } from "@gypsumstage/domain/traffic/Route";
import type { CallerRequest } from "../request/CallerRequest.js";
import type { RunningAttempt } from "../request/RunningAttempt.js";
import type { Relay } from "./Relay.js";

/** The other instances as a way to endpoints that this one does not reach. */
export interface Relays {
    /** Chooses an instance that reaches a service and may get the request; undefined when there is none. */
    readonly choose: (
        route: Route,
        service: string,
        triedNames: ReadonlySet<string>,
    ) => Relay | undefined;
    /** Passes a request on to an instance, which may send it to `attemptsLeft` endpoints but not to a third instance. */
    readonly start: (
        req: CallerRequest,
        service: string,
        relay: Relay,
        attemptsLeft: number,
        deadlineAtMs: number,
    ) => RunningAttempt;
}
