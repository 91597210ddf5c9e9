import type { ExchangeAnswer } from "@gypsumstage/domain/ExchangeAnswer";
import type { ExchangeRequest } from "@gypsumstage/domain/ExchangeRequest";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { ageRecords } from "@gypsumstage/steering/ageRecords";
import { holderOf } from "@gypsumstage/steering/holderOf";
import type { SteerContext } from "./SteerContext.js";

const WORTH_SENDING_MS = 200;

const isFresher = (ownAtMs: number | undefined, theirAgeMs: number | undefined, nowMs: number): boolean =>
    ownAtMs !== undefined && (theirAgeMs === undefined || nowMs - ownAtMs + WORTH_SENDING_MS < theirAgeMs);

/**
 * Answers a peer that asks for news, and takes the peer's own record.
 *
 * @param context - the process
 * @param req - what the peer has already
 * @returns what the peer lacks
 */
export const handleExchangePull = (context: SteerContext, req: ExchangeRequest): ExchangeAnswer => {
    const { store, cfg } = context;
    const nowMs = monotonicNow();
    const own = { ...context.ownRecord(), heardAtMs: nowMs };
    store.dispatch({ kind: "records-heard", records: [{ ...req.own, heardAtMs: nowMs }, own], nowMs });
    const view = store.get();
    const generation = view.configuration?.generation ?? 0;
    const records = view.records.filter(record =>
        record.sequence > (req.sequences[holderOf(record.name, record.launch)] ?? 0)
    );
    const isMembersFresher = isFresher(view.membersReadAtMs, req.membersAgeMs, nowMs);
    const isPlanFresher = req.own.region === cfg.instance.region
        && isFresher(view.planConfirmedAtMs, req.planAgeMs, nowMs);
    return {
        configuration: generation > req.generation ? view.configuration : undefined,
        generation,
        records: ageRecords(records, nowMs),
        members: isMembersFresher ? view.members : undefined,
        membersAgeMs: isMembersFresher ? nowMs - (view.membersReadAtMs ?? nowMs) : undefined,
        plan: isPlanFresher ? view.plan : undefined,
        planAgeMs: isPlanFresher ? nowMs - (view.planConfirmedAtMs ?? nowMs) : undefined,
    };
};
