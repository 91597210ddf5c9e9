import type { BudgetPlan } from "@gypsumstage/domain/BudgetPlan";
import type { Configuration } from "@gypsumstage/domain/Configuration";
import type { Member } from "@gypsumstage/domain/Member";
import type { TimestampedRecord } from "@gypsumstage/domain/TimestampedRecord";

/** An event that changes a view. Times are on the monotonic clock of the process that holds the view. */
export type ViewEvent =
    | { readonly kind: "configuration-seen"; readonly configuration: Configuration; }
    | { readonly kind: "members-read"; readonly members: readonly Member[]; readonly readAtMs: number; }
    | { readonly kind: "members-confirmed"; readonly readAtMs: number; }
    | {
        readonly kind: "records-heard";
        readonly records: readonly TimestampedRecord[];
        readonly nowMs: number;
    }
    | { readonly kind: "plan-read"; readonly plan: BudgetPlan; readonly readAtMs: number; };
