import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import { HEARD_RECENTLY_MS } from "@gypsumstage/steering/HEARD_RECENTLY_MS";
import { holderOf } from "@gypsumstage/steering/holderOf";

/**
 * Collects the demands of a region's live instances for its budgets. Only the holders returned here get a share.
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
        record.region === region && record.entry !== undefined && nowMs - record.heardAtMs < HEARD_RECENTLY_MS
    );
    return Object.fromEntries(
        live.map(record => [holderOf(record.name, record.launch), record.entry?.demand ?? {}]),
    );
};
