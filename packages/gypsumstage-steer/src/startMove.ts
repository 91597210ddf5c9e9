import type { Move } from "@gypsumstage/domain/Move";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import { failure } from "@gypsumstage/shared/failure";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { success } from "@gypsumstage/shared/success";
import { findMoveShortfalls } from "@gypsumstage/steering/findMoveShortfalls";
import type { ConfigurationChange } from "./ConfigurationChange.js";

/**
 * Makes the change that starts a move of a part of a service's work to another region, after checking that the other
 * region can carry it.
 *
 * @param move - the move
 * @param view - what the process knows
 * @returns the change
 */
export const startMove = (move: Move, view: SteeringView): ConfigurationChange => async current => {
    const regions = Object.values(current?.intent.dataCentres ?? {});
    if (current === undefined || !current.intent.services.includes(move.service)) {
        return failure({ kind: "not-found", what: `service ${move.service}` });
    }
    const unknown = [move.from, move.to].find(region => !regions.includes(region));
    if (unknown !== undefined) {
        return failure({ kind: "not-found", what: `region ${unknown}` });
    }
    if (current.moves.some(each => each.service === move.service && each.from === move.from)) {
        return failure({ kind: "already-exists", what: `move of ${move.service} from ${move.from}` });
    }
    const shortfalls = findMoveShortfalls(move, view, monotonicNow());
    return shortfalls.length > 0
        ? failure({ kind: "shortfall", shortfalls })
        : success({ intent: current.intent, drains: current.drains, moves: [...current.moves, move] });
};
