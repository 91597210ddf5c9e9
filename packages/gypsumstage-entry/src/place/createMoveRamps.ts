import type { Move } from "@gypsumstage/domain/Move";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { Store } from "@gypsumstage/shared/Store";
import { advanceRamp } from "@gypsumstage/steering/advanceRamp";
import type { RampState } from "@gypsumstage/steering/RampState";
import type { ViewEvent } from "@gypsumstage/steering/ViewEvent";
import type { MoveRamps } from "./MoveRamps.js";

const MAX_UNHEALTHY_FRACTION = 0.05;

interface MoveProgress {
    readonly ramp: RampState;
    readonly healthyCount: number;
    readonly unhealthyCount: number;
}

/**
 * Creates the ramps of the moves out of a region. A ramp grows while at most `MAX_UNHEALTHY_FRACTION` of the moved
 * requests fail or are late; otherwise it shrinks.
 *
 * @param region - region of the instance
 * @param view - the steering view of the process
 * @returns the ramps
 */
export const createMoveRamps = (region: string, view: Store<SteeringView, ViewEvent>): MoveRamps => {
    const progressByMove = new Map<string, MoveProgress>();
    const listOutgoingMoves = (): readonly Move[] =>
        view.get().configuration?.moves.filter(move => move.from === region) ?? [];
    const getMoveKey = (move: Move): string => `${move.service}>${move.to}`;
    return {
        chooseRegion: service => {
            const move = listOutgoingMoves().find(candidate => candidate.service === service);
            const probability = move === undefined
                ? 0
                : move.part * (progressByMove.get(getMoveKey(move))?.ramp.fraction ?? 0);
            return move !== undefined && Math.random() < probability ? move.to : undefined;
        },
        observe: (service, isHealthy) => {
            const move = listOutgoingMoves().find(candidate => candidate.service === service);
            const current = move === undefined ? undefined : progressByMove.get(getMoveKey(move));
            if (move !== undefined && current !== undefined) {
                progressByMove.set(getMoveKey(move), {
                    ...current,
                    healthyCount: current.healthyCount + (isHealthy ? 1 : 0),
                    unhealthyCount: current.unhealthyCount + (isHealthy ? 0 : 1),
                });
            }
        },
        advance: () => {
            const moves = listOutgoingMoves();
            const activeKeys = new Set(moves.map(getMoveKey));
            [...progressByMove.keys()].filter(key => !activeKeys.has(key)).forEach(key =>
                progressByMove.delete(key)
            );
            for (const move of moves) {
                const current = progressByMove.get(getMoveKey(move));
                const isHealthy = current === undefined
                    || current.unhealthyCount
                        <= MAX_UNHEALTHY_FRACTION * (current.healthyCount + current.unhealthyCount);
                const ramp = advanceRamp(current?.ramp, monotonicNow(), isHealthy);
                if (ramp !== current?.ramp) {
                    progressByMove.set(getMoveKey(move), { ramp, healthyCount: 0, unhealthyCount: 0 });
                }
            }
        },
    };
};
