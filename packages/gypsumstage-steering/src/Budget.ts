/** A resource whose cap is divided among the instances of one region. */
export interface Budget {
    /** `link:FROM>TO`, in bytes per second, or `class:CLASS@REGION`, in requests in flight. */
    readonly resource: string;
    readonly cap: number;
    /** Amount that the owner of each declared place may use without a plan. */
    readonly floor: number;
    /** Amount that plans divide among the holders: the cap minus all floors. */
    readonly pool: number;
    /** Whether shares are rounded down to whole units. */
    readonly isIntegral: boolean;
}
