import type { Drain } from "@gypsumstage/domain/Drain";
import type { DrainStatus } from "@gypsumstage/domain/DrainStatus";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import type { TimestampedRecord } from "@gypsumstage/domain/TimestampedRecord";
import { FRESH_RECORD_MAX_AGE_MS } from "./FRESH_RECORD_MAX_AGE_MS.js";

const isInScope = (record: TimestampedRecord, drain: Drain, view: SteeringView): boolean => {
    if (drain.scope === "region") {
        return record.region === drain.name;
    }
    if (drain.scope === "dataCentre") {
        return record.dataCentre === drain.name;
    }
    return view.members.some(member => member.name === drain.name && member.dataCentre === record.dataCentre);
};

/**
 * Returns the progress of a drain. Its state is `drained` only when every instance in the scope has a fresh record, has
 * applied the current configuration and has no requests in flight. For the drain of an endpoint, only requests at that
 * endpoint count.
 *
 * @param drain - the drain to summarize
 * @param view - the view of this process
 * @param nowMs - the monotonic time
 * @returns the status; its state is `unknown` while a record in the scope is stale
 */
export const summarizeDrain = (drain: Drain, view: SteeringView, nowMs: number): DrainStatus => {
    const inScope = view.records.filter(record => isInScope(record, drain, view));
    const reporting = inScope.filter(record =>
        nowMs - record.lastSeenAtMs < FRESH_RECORD_MAX_AGE_MS && record.entry !== undefined
    );
    const unheard = inScope.filter(record => !reporting.includes(record)).map(record => record.name);
    const countInFlight = (record: TimestampedRecord): number =>
        drain.scope === "endpoint"
            ? record.entry?.drainedInFlight[drain.name] ?? 0
            : Object.values(record.entry?.inFlight ?? {}).reduce((sum, count) => sum + count, 0);
    const inFlight = reporting.reduce((sum, record) => sum + countInFlight(record), 0);
    const isUpToDate = reporting.every(record => record.generation >= (view.configuration?.generation ?? 0));
    const isDone = inFlight === 0 && isUpToDate && reporting.length > 0;
    const state = unheard.length > 0 ? "unknown" : isDone ? "drained" : "draining";
    return { ...drain, inFlight, unheard, state };
};
