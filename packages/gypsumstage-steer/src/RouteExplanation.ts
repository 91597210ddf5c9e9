import type { RouteCandidate } from "./RouteCandidate.js";

/** Explains where requests of a route are sent, according to the view of this instance. */
export interface RouteExplanation {
    readonly route: string;
    readonly class: string | undefined;
    readonly service: string | undefined;
    readonly reason: string;
    /** Instances to which the data centre of this instance could send a request, nearest first. */
    readonly candidates: readonly RouteCandidate[];
}
