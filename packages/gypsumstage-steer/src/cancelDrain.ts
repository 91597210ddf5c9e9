import type { Drain } from "@gypsumstage/domain/Drain";
import { failure } from "@gypsumstage/shared/failure";
import { success } from "@gypsumstage/shared/success";
import type { ConfigurationChange } from "./ConfigurationChange.js";

/**
 * Creates the change that ends a drain, after which the drained scope receives requests again.
 *
 * @param drain - scope and name of the drain
 * @returns the change; it fails with `not-found` when there is no such drain
 */
export const cancelDrain = (drain: Pick<Drain, "scope" | "name">): ConfigurationChange => async current => {
    const remaining = current?.drains.filter(each => each.scope !== drain.scope || each.name !== drain.name);
    if (current === undefined || remaining === undefined || remaining.length === current.drains.length) {
        return failure({ kind: "not-found", what: `drain of ${drain.scope} ${drain.name}` });
    }
    return success({ intent: current.intent, moves: current.moves, drains: remaining });
};
