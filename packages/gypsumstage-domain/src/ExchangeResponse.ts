import type { AgedRecord } from "./AgedRecord.js";
import type { BudgetPlan } from "./BudgetPlan.js";
import type { Configuration } from "./Configuration.js";
import type { Member } from "./Member.js";

/** Response of a peer's steer process: the data that the requester does not have yet. */
export interface ExchangeResponse {
    readonly configuration: Configuration | undefined;
    readonly records: readonly AgedRecord[];
    readonly members: readonly Member[] | undefined;
    readonly membersAgeMs: number | undefined;
    readonly plan: BudgetPlan | undefined;
    readonly planAgeMs: number | undefined;
    /** Configuration generation of the peer; shows the requester whether the peer is behind. */
    readonly generation: number;
}
