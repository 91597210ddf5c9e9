import type { Drain } from "@gypsumstage/domain/Drain";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import { failure } from "@gypsumstage/shared/failure";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { success } from "@gypsumstage/shared/success";
import { findDrainShortfalls } from "@gypsumstage/steering/findDrainShortfalls";
import type { ConfigurationChange } from "./ConfigurationChange.js";
import { createDrainPredicate } from "./createDrainPredicate.js";
import { isKnownScope } from "./isKnownScope.js";

/**
 * Creates the change that starts a drain, after checking that the remaining capacity can carry the load.
 *
 * @param drain - the drain to start
 * @param view - the steering view from which shortfalls are computed
 * @param isForced - whether the drain starts despite a shortfall
 * @returns the change; it fails when the scope does not exist, is drained already, or capacity would fall short
 */
export const startDrain =
    (drain: Drain, view: SteeringView, isForced: boolean): ConfigurationChange => async current => {
        if (current === undefined) {
            return failure({ kind: "not-found", what: "a configuration" });
        }
        if (current.drains.some(each => each.scope === drain.scope && each.name === drain.name)) {
            return failure({ kind: "already-exists", what: `drain of ${drain.scope} ${drain.name}` });
        }
        if (!isKnownScope(drain, current, view)) {
            return failure({ kind: "not-found", what: `${drain.scope} ${drain.name}` });
        }
        const shortfalls = findDrainShortfalls(createDrainPredicate(drain), view, monotonicNow());
        if (shortfalls.length > 0 && !isForced) {
            return failure({ kind: "shortfall", shortfalls });
        }
        const { generation, ...withoutGeneration } = current;
        void generation;
        return success({ ...withoutGeneration, drains: [...current.drains, drain] });
    };
