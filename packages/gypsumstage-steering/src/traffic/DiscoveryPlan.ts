/** What an instance does after it has read which addresses the fleet can be found at. */
export interface DiscoveryPlan {
    /** Listed addresses of which it knows no live instance, and to which it introduces itself. */
    readonly introduceTo: readonly string[];
    /** The next list of addresses; undefined when the present one stays. */
    readonly nextAddresses: readonly string[] | undefined;
}
