import type { RouteCandidate } from "./RouteCandidate.js";

/** Why a request of a route would go where it goes, as far as this instance knows. */
export interface RouteExplanation {
    readonly route: string;
    readonly class: string | undefined;
    readonly service: string | undefined;
    readonly reason: string;
    /** Where the data centre of this instance could send it, the nearest first. */
    readonly candidates: readonly RouteCandidate[];
}
