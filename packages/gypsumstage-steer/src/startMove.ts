import type { Move } from "@gypsumstage/domain/Move";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import { failure } from "@gypsumstage/shared/failure";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { success } from "@gypsumstage/shared/success";
import { findMoveShortfalls } from "@gypsumstage/steering/findMoveShortfalls";
import type { ConfigurationChange } from "./ConfigurationChange.js";

/**
 * Creates the change that starts a move of a fraction of a service's load to another region, after checking that the
 * target region can carry it.
 *
 * @param move - the move to start
 * @param view - the steering view from which shortfalls are computed
 * @returns the change; it fails when the service or a region is unknown, the move exists, or capacity would fall short
 */
export const startMove = (move: Move, view: SteeringView): ConfigurationChange => async current => {
    const regions = Object.values(current?.intent.dataCentres ?? {});
    if (current === undefined || !current.intent.services.includes(move.service)) {
        return failure({ kind: "not-found", what: `service ${move.service}` });
    }
    const unknownRegion = [move.from, move.to].find(region => !regions.includes(region));
    if (unknownRegion !== undefined) {
        return failure({ kind: "not-found", what: `region ${unknownRegion}` });
    }
    if (current.moves.some(each => each.service === move.service && each.from === move.from)) {
        return failure({ kind: "already-exists", what: `move of ${move.service} from ${move.from}` });
    }
    const shortfalls = findMoveShortfalls(move, view, monotonicNow());
    return shortfalls.length > 0
        ? failure({ kind: "shortfall", shortfalls })
        : success({ intent: current.intent, drains: current.drains, moves: [...current.moves, move] });
};
