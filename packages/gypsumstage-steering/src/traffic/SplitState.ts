/** How earlier requests of one route were split among its target services. */
export interface SplitState {
    /** Requests sent to each service, as a decayed count in which older requests weigh less. */
    readonly requestsByService: Readonly<Record<string, number>>;
}
