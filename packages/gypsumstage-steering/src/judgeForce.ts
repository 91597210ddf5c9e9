import type { HeardRecord } from "@gypsumstage/domain/HeardRecord";
import type { InstanceStatus } from "@gypsumstage/domain/InstanceStatus";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import { HEARD_RECENTLY_MS } from "./HEARD_RECENTLY_MS.js";

/**
 * Tells whether an intent is in force in one place.
 *
 * @param place - name of the declared place
 * @param accepted - the accepted generation
 * @param view - what the asking process knows
 * @param nowMs - the monotonic time
 * @returns the status; unknown when no launch of the place was heard of recently
 */
export const judgeForce = (
    place: string,
    accepted: number,
    view: SteeringView,
    nowMs: number,
): InstanceStatus => {
    const records = view.records.filter(record => record.name === place);
    const record = records.reduce<HeardRecord | undefined>(
        (latest, each) => latest === undefined || each.heardAtMs > latest.heardAtMs ? each : latest,
        undefined,
    );
    const heardAgoMs = record === undefined ? undefined : Math.max(0, Math.round(nowMs - record.heardAtMs));
    const isHeard = heardAgoMs !== undefined && heardAgoMs < HEARD_RECENTLY_MS && record?.entry !== undefined;
    const generation = record?.generation;
    const isInForce = generation !== undefined && generation >= accepted && accepted > 0;
    return {
        name: place,
        launch: record?.launch,
        verdict: !isHeard ? "unknown" : isInForce ? "in-force" : "behind",
        generation,
        behindBy: generation === undefined ? undefined : Math.max(0, accepted - generation),
        heardAgoMs,
        isLeaving: record?.entry?.isLeaving ?? false,
        inFlight: record?.entry?.inFlight ?? {},
        freeSlots: record?.entry?.freeSlots ?? {},
    };
};
