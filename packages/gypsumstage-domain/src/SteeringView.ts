import type { BudgetPlan } from "./BudgetPlan.js";
import type { Configuration } from "./Configuration.js";
import type { Member } from "./Member.js";
import type { TimestampedRecord } from "./TimestampedRecord.js";

/** State of the system as received by a role. All times are on the monotonic clock of the role's process. */
export interface SteeringView {
    readonly configuration: Configuration | undefined;
    readonly members: readonly Member[];
    /** Start of the read that returned `members`, in milliseconds; undefined before the first read. */
    readonly membersReadAtMs: number | undefined;
    /** Latest received record of each instance launch. */
    readonly records: readonly TimestampedRecord[];
    readonly plan: BudgetPlan | undefined;
    /** Start of the last read that confirmed the plan, in milliseconds; undefined before the first read. */
    readonly planConfirmedAtMs: number | undefined;
}
