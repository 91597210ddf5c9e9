import type { HeardRecord } from "@gypsumstage/domain/HeardRecord";
import type { Instance } from "@gypsumstage/domain/Instance";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import { HEARD_RECENTLY_MS } from "./HEARD_RECENTLY_MS.js";
import { isDrained } from "./isDrained.js";
import type { RankedInstance } from "./RankedInstance.js";

const RANK_UNHEARD = 100;
const RANK_LEAVING = 1_000;
const RANK_DRAINED = 10;
const RANK_OTHER_DATA_CENTRE = 1;
const RANK_OTHER_REGION = 2;
const MAX_NAMED = 8;

const rank = (
    record: HeardRecord,
    self: Pick<Instance, "dataCentre" | "region">,
    view: SteeringView,
    nowMs: number,
): number => {
    const isHeard = nowMs - record.heardAtMs < HEARD_RECENTLY_MS && record.entry !== undefined;
    const isListedLeaving = view.members.some(member =>
        member.kind === "instance" && member.name === record.name && member.launch === record.launch
        && member.state !== "live"
    );
    const isLeaving = record.entry?.isLeaving === true || isListedLeaving;
    const distance = record.dataCentre === self.dataCentre
        ? 0
        : record.region === self.region
        ? RANK_OTHER_DATA_CENTRE
        : RANK_OTHER_REGION;
    const drained = view.configuration !== undefined && isDrained(view.configuration, record.dataCentre);
    return distance + (isHeard ? 0 : RANK_UNHEARD) + (isLeaving ? RANK_LEAVING : 0)
        + (drained ? RANK_DRAINED : 0);
};

/**
 * Orders the instances that callers may use, best first. Instances that are leaving, drained or silent are left
 * out while any other is known; an empty list is answered only when no instance was ever heard of.
 *
 * @param view - what the look-up process knows
 * @param self - where the look-up process stands
 * @param nowMs - the monotonic time of the view
 * @param random - returns a number from 0 up to 1; spreads callers over equal instances
 * @returns the instances, best first
 */
export const rankInstances = (
    view: SteeringView,
    self: Pick<Instance, "dataCentre" | "region">,
    nowMs: number,
    random: () => number,
): readonly RankedInstance[] => {
    const ranked = view.records
        .map(record => ({ record, score: rank(record, self, view, nowMs), order: random() }))
        .sort((left, right) => left.score - right.score || left.order - right.order);
    const limit = [RANK_DRAINED, RANK_UNHEARD, RANK_LEAVING, Infinity]
        .find(each => ranked.some(({ score }) => score < each)) ?? Infinity;
    return ranked.filter(({ score }) => score < limit).slice(0, MAX_NAMED).map(({ record }) => ({
        name: record.name,
        address: record.entryAddress,
        dataCentre: record.dataCentre,
        region: record.region,
        incarnation: record.entry?.incarnation,
    }));
};
