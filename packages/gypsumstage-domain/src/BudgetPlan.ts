/**
 * Distribution of a region's budgets, beyond the reserved floors, among its instances. The platform stores
 * one object per region. Resources are links out of the region (`link:FROM>TO`, in bytes per second) and caps
 * of classes in the region (`class:CLASS@REGION`, in requests in flight).
 */
export interface BudgetPlan {
    readonly region: string;
    /** Increases with each plan, so that a plan older than one received before is rejected. */
    readonly generation: number;
    /** Unique ID of the write that created this plan. */
    readonly nonce: string;
    /** Grants by resource, then by holder (`INSTANCE.LAUNCH`). */
    readonly grants: Readonly<Record<string, Readonly<Record<string, Grant>>>>;
}

interface Grant {
    /** Amount that the holder may use in addition to its floor, in the unit of the resource. */
    readonly share: number;
    /** Upper bound of the amount that the holder may still use under earlier plans. */
    readonly held: number;
}
