import type { AgedRecord } from "./AgedRecord.js";
import type { BudgetPlan } from "./BudgetPlan.js";
import type { Configuration } from "./Configuration.js";
import type { Member } from "./Member.js";

/** News from a peer; what the asker has already is left out. */
export interface ExchangeAnswer {
    readonly configuration: Configuration | undefined;
    readonly records: readonly AgedRecord[];
    readonly members: readonly Member[] | undefined;
    readonly membersAgeMs: number | undefined;
    readonly plan: BudgetPlan | undefined;
    readonly planAgeMs: number | undefined;
    /** Generation that the peer holds, so that the asker can see that the peer is behind. */
    readonly generation: number;
}
