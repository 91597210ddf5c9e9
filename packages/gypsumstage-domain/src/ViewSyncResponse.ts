import type { AgedRecord } from "./AgedRecord.js";
import type { BudgetPlan } from "./BudgetPlan.js";
import type { Configuration } from "./Configuration.js";
import type { Member } from "./Member.js";

/** Response of a steer process to a role of its instance. */
export interface ViewSyncResponse {
    /** Undefined when the role has this configuration or a later one. */
    readonly configuration: Configuration | undefined;
    /** Undefined when the role has this version of the list of members. */
    readonly members: readonly Member[] | undefined;
    readonly membersVersion: string;
    /** Time since the list was read from the platform, in milliseconds; undefined when it never was. */
    readonly membersAgeMs: number | undefined;
    readonly records: readonly AgedRecord[];
    readonly plan: BudgetPlan | undefined;
    /** Time since the plan was confirmed, in milliseconds; undefined without a plan. */
    readonly planAgeMs: number | undefined;
    /** Whether the role's configuration is the later one; if so, its next request contains it as `offered`. */
    readonly isBehind: boolean;
}
