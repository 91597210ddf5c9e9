import type { AgedRecord } from "./AgedRecord.js";
import type { BudgetPlan } from "./BudgetPlan.js";
import type { Configuration } from "./Configuration.js";
import type { Member } from "./Member.js";

/** Response of a peer's steer process: the data that the requester does not have yet. */
export interface ExchangeResponse {
    readonly configuration: Configuration | undefined;
    readonly records: readonly AgedRecord[];
    /** Undefined, like its age, unless the peer's list is more recent than the requester's. */
    readonly members: readonly Member[] | undefined;
    readonly membersAgeMs: number | undefined;
    /** Undefined, like its age, unless the peer is in the same region and its plan was confirmed more recently. */
    readonly plan: BudgetPlan | undefined;
    readonly planAgeMs: number | undefined;
    /** Configuration generation of the peer; shows the requester whether the peer is behind. */
    readonly generation: number;
}
