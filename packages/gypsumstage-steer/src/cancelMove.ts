import type { Move } from "@gypsumstage/domain/Move";
import { failure } from "@gypsumstage/shared/failure";
import { success } from "@gypsumstage/shared/success";
import type { ConfigurationChange } from "./ConfigurationChange.js";

/**
 * Makes the change that ends a move.
 *
 * @param move - service and region of the move
 * @returns the change
 */
export const cancelMove = (move: Pick<Move, "service" | "from">): ConfigurationChange => async current => {
    const rest = current?.moves.filter(each => each.service !== move.service || each.from !== move.from);
    if (current === undefined || rest === undefined || rest.length === current.moves.length) {
        return failure({ kind: "not-found", what: `move of ${move.service} from ${move.from}` });
    }
    return success({ intent: current.intent, drains: current.drains, moves: rest });
};
