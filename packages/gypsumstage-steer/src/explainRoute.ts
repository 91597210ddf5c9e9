import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import type { TimestampedRecord } from "@gypsumstage/domain/TimestampedRecord";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { classifyRequest } from "@gypsumstage/steering/classifyRequest";
import { FRESH_RECORD_MAX_AGE_MS } from "@gypsumstage/steering/FRESH_RECORD_MAX_AGE_MS";
import { isDrained } from "@gypsumstage/steering/isDrained";
import type { RouteCandidate } from "./RouteCandidate.js";
import type { RouteExplanation } from "./RouteExplanation.js";
import type { SteerContext } from "./SteerContext.js";

const describeCandidate = (
    record: TimestampedRecord,
    service: string,
    view: SteeringView,
    nowMs: number,
): RouteCandidate => {
    const heardAgoMs = Math.round(nowMs - record.lastSeenAtMs);
    const freeSlots = record.entry?.freeSlots[service] ?? 0;
    const isInDrain = view.configuration !== undefined && isDrained(view.configuration, record.dataCentre);
    const note = record.entry === undefined || heardAgoMs >= FRESH_RECORD_MAX_AGE_MS
        ? "not heard of recently"
        : record.entry.isLeaving
        ? "leaving"
        : isInDrain
        ? "drained"
        : freeSlots === 0
        ? "no free slot"
        : "usable";
    return {
        instance: record.name,
        dataCentre: record.dataCentre,
        region: record.region,
        freeSlots,
        heardAgoMs,
        note,
    };
};

/**
 * Explains where requests of a route are sent, according to the view of this instance.
 *
 * @param context - the steering view and the settings of the instance
 * @param method - the HTTP method
 * @param path - the path of the request
 * @returns the class of the route, and the candidate instances, nearest first and then by free slots
 */
export const explainRoute = (
    { store, cfg }: SteerContext,
    method: string,
    path: string,
): RouteExplanation => {
    const view = store.get();
    const nowMs = monotonicNow();
    const route = `${method} ${path}`;
    const cls = view.configuration === undefined
        ? undefined
        : classifyRequest(view.configuration.intent, method, path);
    if (cls === undefined) {
        const reason = view.configuration === undefined
            ? "no configuration is known here"
            : "no class is declared for this route";
        return { route, class: undefined, service: undefined, reason, candidates: [] };
    }
    const getDistance = (each: RouteCandidate): number =>
        each.dataCentre === cfg.instance.dataCentre ? 0 : each.region === cfg.instance.region ? 1 : 2;
    const candidates = view.records
        .map(record => describeCandidate(record, cls.service, view, nowMs))
        .sort((left, right) => getDistance(left) - getDistance(right) || right.freeSlots - left.freeSlots);
    const reason =
        `class ${cls.name}: ${cls.length}, ${cls.isIdempotent ? "idempotent" : "runs at most once"}; `
        + `own data centre first, then own region, then the region with free slots`;
    return { route, class: cls.name, service: cls.service, reason, candidates };
};
