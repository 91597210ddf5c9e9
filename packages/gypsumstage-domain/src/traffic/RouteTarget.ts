/** A service that receives a share of a route's requests. */
export interface RouteTarget {
    readonly service: string;
    /** Share relative to the weights of the route's other targets; no unit. */
    readonly weight: number;
}
