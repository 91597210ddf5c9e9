import type { BudgetPlan } from "./BudgetPlan.js";
import type { Configuration } from "./Configuration.js";
import type { HeardRecord } from "./HeardRecord.js";
import type { Member } from "./Member.js";

/** What a role knows of the system. Times are on the monotonic clock of the process that holds the view. */
export interface SteeringView {
    readonly configuration: Configuration | undefined;
    readonly members: readonly Member[];
    /** When the read of the list began that gave `members`; undefined when never read. */
    readonly membersReadAtMs: number | undefined;
    /** Latest record of each instance launch that was heard of. */
    readonly records: readonly HeardRecord[];
    readonly plan: BudgetPlan | undefined;
    /** When the read began that last confirmed the plan. */
    readonly planConfirmedAtMs: number | undefined;
}
