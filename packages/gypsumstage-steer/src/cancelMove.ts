import type { Move } from "@gypsumstage/domain/Move";
import { failure } from "@gypsumstage/shared/failure";
import { success } from "@gypsumstage/shared/success";
import type { ConfigurationChange } from "./ConfigurationChange.js";

/**
 * Creates the change that ends a move.
 *
 * @param move - service and source region of the move
 * @returns the change; it fails with `not-found` when there is no such move
 */
export const cancelMove = (move: Pick<Move, "service" | "from">): ConfigurationChange => async current => {
    const remaining = current?.moves.filter(each => each.service !== move.service || each.from !== move.from);
    if (current === undefined || remaining === undefined || remaining.length === current.moves.length) {
        return failure({ kind: "not-found", what: `move of ${move.service} from ${move.from}` });
    }
    return success({ intent: current.intent, drains: current.drains, moves: remaining });
};
