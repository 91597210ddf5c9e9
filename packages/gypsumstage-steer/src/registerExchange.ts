import type { ExchangeAnswer } from "@gypsumstage/domain/ExchangeAnswer";
import type { ExchangeRequest } from "@gypsumstage/domain/ExchangeRequest";
import { describeError } from "@gypsumstage/shared/describeError";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { registerRepeat } from "@gypsumstage/shared/registerRepeat";
import { hearRecords } from "@gypsumstage/steering/hearRecords";
import { holderOf } from "@gypsumstage/steering/holderOf";
import { choosePartners } from "./choosePartners.js";
import { createOwnRecord } from "./createOwnRecord.js";
import type { SteerContext } from "./SteerContext.js";

const ROUND_MS = 400;

const describe = (context: SteerContext, nowMs: number): ExchangeRequest => {
    const view = context.store.get();
    const sequences = view.records.map(record =>
        [holderOf(record.name, record.launch), record.sequence] as const
    );
    return {
        own: createOwnRecord(context),
        generation: view.configuration?.generation ?? 0,
        sequences: Object.fromEntries(sequences),
        membersAgeMs: view.membersReadAtMs === undefined ? undefined : nowMs - view.membersReadAtMs,
        planAgeMs: view.planConfirmedAtMs === undefined ? undefined : nowMs - view.planConfirmedAtMs,
    };
};

const takeAnswer = ({ store }: SteerContext, answer: ExchangeAnswer, askedAtMs: number): void => {
    if (answer.configuration !== undefined) {
        store.dispatch({ kind: "configuration-seen", configuration: answer.configuration });
    }
    if (answer.members !== undefined && answer.membersAgeMs !== undefined) {
        store.dispatch({
            kind: "members-read",
            members: answer.members,
            readAtMs: askedAtMs - answer.membersAgeMs,
        });
    }
    if (answer.plan !== undefined && answer.planAgeMs !== undefined) {
        store.dispatch({ kind: "plan-read", plan: answer.plan, readAtMs: askedAtMs - answer.planAgeMs });
    }
    store.dispatch({
        kind: "records-heard",
        records: hearRecords(answer.records, askedAtMs),
        nowMs: monotonicNow(),
    });
};

/**
 * Asks peers for news again and again, and at once after a new configuration has come into force here, so that
 * those cut off from the platform get it from those that are not.
 *
 * @param context - the process
 * @returns the teardown
 */
export const registerExchange = (context: SteerContext): () => void => {
    const ask = async (address: string): Promise<void> => {
        const askedAtMs = monotonicNow();
        const res = await context.rpc.call<ExchangeAnswer>(
            address,
            "exchange.pull",
            describe(context, askedAtMs),
        );
        if (res.ok) {
            takeAnswer(context, res.value, askedAtMs);
        }
        else {
            context.log("debug", "peer-unreachable", { error: res.error });
        }
    };
    const round = async (): Promise<void> => {
        const nowMs = monotonicNow();
        const own = { ...createOwnRecord(context), heardAtMs: nowMs };
        context.store.dispatch({ kind: "records-heard", records: [own], nowMs });
        // Not awaited together with the pause: a silent peer must not hold up the rounds with others.
        choosePartners(context.store.get(), context.cfg, Math.random).forEach(address => void ask(address));
    };
    return registerRepeat(
        round,
        () => ROUND_MS,
        err => context.log("error", "exchange-failed", { reason: describeError(err) }),
    );
};
