import type { Drain } from "@gypsumstage/domain/Drain";
import { failure } from "@gypsumstage/shared/failure";
import { success } from "@gypsumstage/shared/success";
import type { ConfigurationChange } from "./ConfigurationChange.js";

/**
 * Makes the change that ends a drain: the drained part gets work again.
 *
 * @param drain - the drain
 * @returns the change
 */
export const cancelDrain = (drain: Pick<Drain, "scope" | "name">): ConfigurationChange => async current => {
    const rest = current?.drains.filter(each => each.scope !== drain.scope || each.name !== drain.name);
    if (current === undefined || rest === undefined || rest.length === current.drains.length) {
        return failure({ kind: "not-found", what: `drain of ${drain.scope} ${drain.name}` });
    }
    return success({ intent: current.intent, moves: current.moves, drains: rest });
};
