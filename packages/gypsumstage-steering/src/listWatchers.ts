import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import { FRESH_RECORD_MAX_AGE_MS } from "./FRESH_RECORD_MAX_AGE_MS.js";
import { rankByRendezvousHash } from "./rankByRendezvousHash.js";

const WATCHERS_PER_DATA_CENTRE = 2;

/**
 * Chooses the instances that read from the platform for their data centre; the others receive the results from them. Instances that
 * have lost the platform are passed over, unless all have.
 * There is no election: processes whose views differ choose differently for a while, and a duplicate read does no
 * harm.
 *
 * @param view - the view of this process
 * @param self - the instance of this process, always counted as alive
 * @param nowMs - the monotonic time
 * @returns names of the instances that read
 */
export const listWatchers = (
    view: SteeringView,
    self: { readonly name: string; readonly dataCentre: string; },
    nowMs: number,
): readonly string[] => {
    const live = view.records.filter(record =>
        record.dataCentre === self.dataCentre && nowMs - record.lastSeenAtMs < FRESH_RECORD_MAX_AGE_MS
    );
    const lost = new Set(live.filter(record => record.isPlatformLost === true).map(record => record.name));
    const names = [...new Set([self.name, ...live.map(record => record.name)])];
    const reaching = names.filter(name => !lost.has(name));
    const candidates = reaching.length > 0 ? reaching : names;
    return rankByRendezvousHash(`watch/${self.dataCentre}`, candidates).slice(0, WATCHERS_PER_DATA_CENTRE);
};
