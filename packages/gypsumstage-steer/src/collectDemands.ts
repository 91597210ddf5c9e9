import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import { FRESH_RECORD_MAX_AGE_MS } from "@gypsumstage/steering/FRESH_RECORD_MAX_AGE_MS";
import { getHolderName } from "@gypsumstage/steering/getHolderName";

/**
 * Collects the demands of a region's live instances for its budgets. Only the holders returned here receive a share.
 *
 * @param view - the current steering view
 * @param region - the region
 * @param nowMs - current monotonic time
 * @returns demands by holder name, then by resource, in the unit of the resource
 */
export const collectDemands = (
    view: SteeringView,
    region: string,
    nowMs: number,
): Readonly<Record<string, Readonly<Record<string, number>>>> => {
    const live = view.records.filter(record =>
        record.region === region && record.entry !== undefined
        && nowMs - record.lastSeenAtMs < FRESH_RECORD_MAX_AGE_MS
    );
    return Object.fromEntries(
        live.map(record => [getHolderName(record.name, record.launch), record.entry?.demand ?? {}]),
    );
};
