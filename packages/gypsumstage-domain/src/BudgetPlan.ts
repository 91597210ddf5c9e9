/**
 * How the instances of a region divide what is not reserved by floors; one object a region in the platform.
 * Resources are links out of the region (`link:FROM>TO`, bytes a second) and caps of classes in the region
 * (`class:CLASS@REGION`, requests in flight).
 */
export interface BudgetPlan {
    readonly region: string;
    /** Grows with each plan, so that a plan older than one seen before is not used. */
    readonly generation: number;
    /** Identifies the write, so that its author recognizes it after a lost answer. */
    readonly nonce: string;
    /** Grants by resource, then by holder (`INSTANCE.LAUNCH`). */
    readonly grants: Readonly<Record<string, Readonly<Record<string, Grant>>>>;
}

interface Grant {
    /** What the holder may use beside its floor. */
    readonly share: number;
    /** Upper bound of what the holder may still use from earlier plans. */
    readonly held: number;
}
