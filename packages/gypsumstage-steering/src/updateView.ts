import type { BudgetPlan } from "@gypsumstage/domain/BudgetPlan";
import type { Configuration } from "@gypsumstage/domain/Configuration";
import type { HeardRecord } from "@gypsumstage/domain/HeardRecord";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import { adoptConfiguration } from "./adoptConfiguration.js";
import { mergeRecords } from "./mergeRecords.js";
import { pruneRecords } from "./pruneRecords.js";
import type { ViewEvent } from "./ViewEvent.js";

const isOlder = (readAtMs: number, heldAtMs: number | undefined): boolean =>
    heldAtMs !== undefined && readAtMs <= heldAtMs;

const takeConfiguration = (view: SteeringView, seen: Configuration): SteeringView => {
    const configuration = adoptConfiguration(view.configuration, seen);
    return configuration === view.configuration ? view : { ...view, configuration };
};

const takeRecords = (view: SteeringView, heard: readonly HeardRecord[], nowMs: number): SteeringView => {
    const records = pruneRecords(mergeRecords(view.records, heard), view.members, nowMs);
    return records === view.records ? view : { ...view, records };
};

const takePlan = (view: SteeringView, plan: BudgetPlan, readAtMs: number): SteeringView => {
    // A plan older than one seen before comes from a platform that lost writes; its shares are not usable.
    const isReverted = view.plan !== undefined && plan.generation < view.plan.generation;
    return isReverted || isOlder(readAtMs, view.planConfirmedAtMs)
        ? view
        : { ...view, plan, planConfirmedAtMs: readAtMs };
};

/**
 * The update function of a view, the same in every role. Events may arrive late, twice or out of order: a
 * configuration never goes back, and an older reading never replaces a newer one.
 *
 * @param view - the view so far
 * @param event - what was read or heard
 * @returns the next view; the same reference when nothing changed
 */
export const updateView = (view: SteeringView, event: ViewEvent): SteeringView => {
    switch (event.kind) {
        case "configuration-seen":
            return takeConfiguration(view, event.configuration);
        case "members-read":
            return isOlder(event.readAtMs, view.membersReadAtMs)
                ? view
                : { ...view, members: event.members, membersReadAtMs: event.readAtMs };
        case "members-confirmed":
            return view.membersReadAtMs === undefined || isOlder(event.readAtMs, view.membersReadAtMs)
                ? view
                : { ...view, membersReadAtMs: event.readAtMs };
        case "records-heard":
            return takeRecords(view, event.records, event.nowMs);
        case "plan-read":
            return takePlan(view, event.plan, event.readAtMs);
    }
};
