import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import { HEARD_RECENTLY_MS } from "@gypsumstage/steering/HEARD_RECENTLY_MS";
import { holderOf } from "@gypsumstage/steering/holderOf";

/**
 * Collects what the live instances of a region want of its budgets. A share goes only to holders named here.
 *
 * @param view - what the process knows
 * @param region - the region
 * @param nowMs - the monotonic time
 * @returns demands by holder, then by resource
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
