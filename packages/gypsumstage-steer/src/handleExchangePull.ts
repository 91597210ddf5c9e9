import type { ExchangeRequest } from "@gypsumstage/domain/ExchangeRequest";
import type { ExchangeResponse } from "@gypsumstage/domain/ExchangeResponse";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { convertTimesToAges } from "@gypsumstage/steering/convertTimesToAges";
import { getHolderName } from "@gypsumstage/steering/getHolderName";
import type { SteerContext } from "./SteerContext.js";

/** A copy is sent only when it is newer than the peer's by more than this. */
const MIN_AGE_DIFFERENCE_MS = 200;

const isFresher = (
    localReadAtMs: number | undefined,
    peerAgeMs: number | undefined,
    nowMs: number,
): boolean =>
    localReadAtMs !== undefined
    && (peerAgeMs === undefined || nowMs - localReadAtMs + MIN_AGE_DIFFERENCE_MS < peerAgeMs);

/**
 * Handles the RPC `exchange.pull`: records the peer's own record and returns the updates that the peer lacks.
 *
 * @param context - the view that is updated and compared with the request, and the record of this instance
 * @param req - the peer's own record, and versions and ages of its data
 * @returns newer configuration, records, list of members and budget plan; up-to-date parts are undefined or empty
 */
export const handleExchangePull = (context: SteerContext, req: ExchangeRequest): ExchangeResponse => {
    const { store, cfg } = context;
    const nowMs = monotonicNow();
    const ownRecord = { ...context.getOwnRecord(), lastSeenAtMs: nowMs };
    store.dispatch({
        kind: "records-heard",
        records: [{ ...req.own, lastSeenAtMs: nowMs }, ownRecord],
        nowMs,
    });
    const view = store.get();
    const generation = view.configuration?.generation ?? 0;
    const records = view.records.filter(record =>
        record.sequence > (req.sequences[getHolderName(record.name, record.launch)] ?? 0)
    );
    const isMembersFresher = isFresher(view.membersReadAtMs, req.membersAgeMs, nowMs);
    const isPlanFresher = req.own.region === cfg.instance.region
        && isFresher(view.planConfirmedAtMs, req.planAgeMs, nowMs);
    return {
        configuration: generation > req.generation ? view.configuration : undefined,
        generation,
        records: convertTimesToAges(records, nowMs),
        members: isMembersFresher ? view.members : undefined,
        membersAgeMs: isMembersFresher ? nowMs - (view.membersReadAtMs ?? nowMs) : undefined,
        plan: isPlanFresher ? view.plan : undefined,
        planAgeMs: isPlanFresher ? nowMs - (view.planConfirmedAtMs ?? nowMs) : undefined,
    };
};
