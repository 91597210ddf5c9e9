import type { Move } from "@gypsumstage/domain/Move";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { Store } from "@gypsumstage/shared/Store";
import { advanceRamp } from "@gypsumstage/steering/advanceRamp";
import type { RampState } from "@gypsumstage/steering/RampState";
import type { ViewEvent } from "@gypsumstage/steering/ViewEvent";
import type { MoveRamps } from "./MoveRamps.js";

const MAX_BAD_PART = 0.05;

interface Progress {
    readonly ramp: RampState;
    readonly good: number;
    readonly bad: number;
}

/**
 * Creates the follower of moves.
 *
 * @param region - region of the instance
 * @param view - what the process knows
 * @returns the follower
 */
export const createMoveRamps = (region: string, view: Store<SteeringView, ViewEvent>): MoveRamps => {
    const progress = new Map<string, Progress>();
    const movesHere = (): readonly Move[] =>
        view.get().configuration?.moves.filter(move => move.from === region) ?? [];
    const keyOf = (move: Move): string => `${move.service}>${move.to}`;
    return {
        choose: service => {
            const move = movesHere().find(each => each.service === service);
            const part = move === undefined ? 0 : move.part * (progress.get(keyOf(move))?.ramp.part ?? 0);
            return move !== undefined && Math.random() < part ? move.to : undefined;
        },
        observe: (service, isHealthy) => {
            const move = movesHere().find(each => each.service === service);
            const held = move === undefined ? undefined : progress.get(keyOf(move));
            if (move !== undefined && held !== undefined) {
                progress.set(keyOf(move), {
                    ...held,
                    good: held.good + (isHealthy ? 1 : 0),
                    bad: held.bad + (isHealthy ? 0 : 1),
                });
            }
        },
        advance: () => {
            const moves = movesHere();
            const names = new Set(moves.map(keyOf));
            [...progress.keys()].filter(key => !names.has(key)).forEach(key => progress.delete(key));
            for (const move of moves) {
                const held = progress.get(keyOf(move));
                const isHealthy = held === undefined || held.bad <= MAX_BAD_PART * (held.good + held.bad);
                const ramp = advanceRamp(held?.ramp, monotonicNow(), isHealthy);
                if (ramp !== held?.ramp) {
                    progress.set(keyOf(move), { ramp, good: 0, bad: 0 });
                }
            }
        },
    };
};
