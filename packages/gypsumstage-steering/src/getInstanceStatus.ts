import type { InstanceStatus } from "@gypsumstage/domain/InstanceStatus";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import type { TimestampedRecord } from "@gypsumstage/domain/TimestampedRecord";
import { FRESH_RECORD_MAX_AGE_MS } from "./FRESH_RECORD_MAX_AGE_MS.js";

/**
 * Returns the status of one place, including whether the accepted intent is in force there.
 *
 * @param place - name of the declared place
 * @param acceptedGeneration - generation of the accepted configuration; 0 when there is none
 * @param view - the view of this process
 * @param nowMs - the monotonic time
 * @returns the status; its `verdict` is `unknown` without a fresh record of any launch of the place
 */
export const getInstanceStatus = (
    place: string,
    acceptedGeneration: number,
    view: SteeringView,
    nowMs: number,
): InstanceStatus => {
    const records = view.records.filter(record => record.name === place);
    const record = records.reduce<TimestampedRecord | undefined>(
        (latest, each) => latest === undefined || each.lastSeenAtMs > latest.lastSeenAtMs ? each : latest,
        undefined,
    );
    const heardAgoMs = record === undefined
        ? undefined
        : Math.max(0, Math.round(nowMs - record.lastSeenAtMs));
    const isFresh = heardAgoMs !== undefined && heardAgoMs < FRESH_RECORD_MAX_AGE_MS
        && record?.entry !== undefined;
    const generation = record?.generation;
    const isInForce = generation !== undefined && generation >= acceptedGeneration && acceptedGeneration > 0;
    return {
        name: place,
        launch: record?.launch,
        verdict: !isFresh ? "unknown" : isInForce ? "in-force" : "behind",
        generation,
        behindBy: generation === undefined ? undefined : Math.max(0, acceptedGeneration - generation),
        heardAgoMs,
        isLeaving: record?.entry?.isLeaving ?? false,
        inFlight: record?.entry?.inFlight ?? {},
        freeSlots: record?.entry?.freeSlots ?? {},
    };
};
