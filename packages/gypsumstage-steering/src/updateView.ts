import type { BudgetPlan } from "@gypsumstage/domain/BudgetPlan";
import type { Configuration } from "@gypsumstage/domain/Configuration";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import type { TimestampedRecord } from "@gypsumstage/domain/TimestampedRecord";
import { mergeRecords } from "./mergeRecords.js";
import { pruneRecords } from "./pruneRecords.js";
import { selectNewerConfiguration } from "./selectNewerConfiguration.js";
import type { ViewEvent } from "./ViewEvent.js";

const isOlder = (readAtMs: number, currentReadAtMs: number | undefined): boolean =>
    currentReadAtMs !== undefined && readAtMs <= currentReadAtMs;

const applyConfiguration = (view: SteeringView, incoming: Configuration): SteeringView => {
    const configuration = selectNewerConfiguration(view.configuration, incoming);
    return configuration === view.configuration ? view : { ...view, configuration };
};

const applyRecords = (
    view: SteeringView,
    received: readonly TimestampedRecord[],
    nowMs: number,
): SteeringView => {
    const records = pruneRecords(mergeRecords(view.records, received), view.members, nowMs);
    return records === view.records ? view : { ...view, records };
};

const applyPlan = (view: SteeringView, plan: BudgetPlan, readAtMs: number): SteeringView => {
    // A plan of a lower generation than the current one comes from a platform that lost writes: its shares must not be
    // used.
    const isRegression = view.plan !== undefined && plan.generation < view.plan.generation;
    return isRegression || isOlder(readAtMs, view.planConfirmedAtMs)
        ? view
        : { ...view, plan, planConfirmedAtMs: readAtMs };
};

/**
 * Applies an event to a view, in the same way in every role. Events may arrive late, twice or out of order: the
 * generation of the configuration never decreases, and an older read never replaces a newer one.
 *
 * @param view - the view before the event
 * @param event - what was read or received
 * @returns the next view; `view` itself when nothing changed
 */
export const updateView = (view: SteeringView, event: ViewEvent): SteeringView => {
    switch (event.kind) {
        case "configuration-seen":
            return applyConfiguration(view, event.configuration);
        case "members-read":
            return isOlder(event.readAtMs, view.membersReadAtMs)
                ? view
                : { ...view, members: event.members, membersReadAtMs: event.readAtMs };
        case "members-confirmed":
            return view.membersReadAtMs === undefined || isOlder(event.readAtMs, view.membersReadAtMs)
                ? view
                : { ...view, membersReadAtMs: event.readAtMs };
        case "records-heard":
            return applyRecords(view, event.records, event.nowMs);
        case "plan-read":
            return applyPlan(view, event.plan, event.readAtMs);
    }
};
