/** A resource whose cap the instances of one region divide. */
export interface Budget {
    /** `link:FROM>TO` in bytes a second, or `class:CLASS@REGION` in requests in flight. */
    readonly resource: string;
    readonly cap: number;
    /** What each declared place may use without asking anybody. */
    readonly floor: number;
    /** What a plan divides: the cap less all floors. */
    readonly pool: number;
    /** Whether only whole units can be used. */
    readonly isWhole: boolean;
}
