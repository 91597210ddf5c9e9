import type { Instance } from "@gypsumstage/domain/Instance";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import type { TimestampedRecord } from "@gypsumstage/domain/TimestampedRecord";
import { FRESH_RECORD_MAX_AGE_MS } from "./FRESH_RECORD_MAX_AGE_MS.js";
import { isDrained } from "./isDrained.js";
import type { RankedInstance } from "./RankedInstance.js";

// Each penalty exceeds the sum of all smaller ones, so that a larger one always decides.
const STALE_PENALTY = 100;
const LEAVING_PENALTY = 1_000;
const DRAINED_PENALTY = 10;
const OTHER_DATA_CENTRE_PENALTY = 1;
const OTHER_REGION_PENALTY = 2;
const MAX_INSTANCES = 8;

const computePenalty = (
    record: TimestampedRecord,
    self: Pick<Instance, "dataCentre" | "region">,
    view: SteeringView,
    nowMs: number,
): number => {
    const isFresh = nowMs - record.lastSeenAtMs < FRESH_RECORD_MAX_AGE_MS && record.entry !== undefined;
    const isListedLeaving = view.members.some(member =>
        member.kind === "instance" && member.name === record.name && member.launch === record.launch
        && member.state !== "live"
    );
    const isLeaving = record.entry?.isLeaving === true || isListedLeaving;
    const distance = record.dataCentre === self.dataCentre
        ? 0
        : record.region === self.region
        ? OTHER_DATA_CENTRE_PENALTY
        : OTHER_REGION_PENALTY;
    const isInDrain = view.configuration !== undefined && isDrained(view.configuration, record.dataCentre);
    return distance + (isFresh ? 0 : STALE_PENALTY) + (isLeaving ? LEAVING_PENALTY : 0)
        + (isInDrain ? DRAINED_PENALTY : 0);
};

/**
 * Orders the instances that callers may use, best first. Instances that are leaving, drained or without a fresh record
 * are left out while any other is known. The result is empty only when the view contains no records.
 *
 * @param view - the view of the lookup process
 * @param self - location of the lookup process
 * @param nowMs - the monotonic time
 * @param random - returns a number in [0, 1); spreads callers over equally ranked instances
 * @returns the instances, best first
 */
export const rankInstances = (
    view: SteeringView,
    self: Pick<Instance, "dataCentre" | "region">,
    nowMs: number,
    random: () => number,
): readonly RankedInstance[] => {
    const ranked = view.records
        .map(record => ({ record, penalty: computePenalty(record, self, view, nowMs), order: random() }))
        .sort((left, right) => left.penalty - right.penalty || left.order - right.order);
    const penaltyLimit = [DRAINED_PENALTY, STALE_PENALTY, LEAVING_PENALTY, Infinity]
        .find(candidate => ranked.some(({ penalty }) => penalty < candidate)) ?? Infinity;
    return ranked.filter(({ penalty }) => penalty < penaltyLimit).slice(0, MAX_INSTANCES).map((
        { record },
    ) => ({
        name: record.name,
        address: record.entryAddress,
        dataCentre: record.dataCentre,
        region: record.region,
        incarnation: record.entry?.incarnation,
    }));
};
