import type { ExchangeAnswer } from "@gypsumstage/domain/ExchangeAnswer";
import type { ExchangeRequest } from "@gypsumstage/domain/ExchangeRequest";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import { describeError } from "@gypsumstage/shared/describeError";
import type { InstanceSettings } from "@gypsumstage/shared/InstanceSettings";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { registerRepeat } from "@gypsumstage/shared/registerRepeat";
import { hearRecords } from "@gypsumstage/steering/hearRecords";
import { holderOf } from "@gypsumstage/steering/holderOf";
import { choosePeerAddresses } from "./choosePeerAddresses.js";
import { listPeerAddresses } from "./listPeerAddresses.js";
import type { SteerContext } from "./SteerContext.js";

const ROUND_MS = 400;
/** Most peers that are told at once that this instance leaves. */
const MAX_TOLD = 64;

const describe = (context: SteerContext, nowMs: number): ExchangeRequest => {
    const view = context.store.get();
    const sequences = view.records.map(record =>
        [holderOf(record.name, record.launch), record.sequence] as const
    );
    return {
        own: context.ownRecord(),
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

const isOwnEntryLeaving = (
    { records }: SteeringView,
    { name, launch }: InstanceSettings["instance"],
): boolean =>
    records.some(record =>
        record.name === name && record.launch === launch && record.entry?.isLeaving === true
    );

/**
 * Asks peers for news again and again. A question carries the own record, so both sides learn. When the entry of this
 * instance begins to leave, many peers are told at once, because look-ups must stop naming it before it stops.
 *
 * @param context - the process
 * @returns the teardown
 */
export const registerExchange = (context: SteerContext): () => void => {
    const { cfg, store, log } = context;
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
            log("debug", "peer-unreachable", { error: res.error });
        }
    };
    let turn = 0;
    const round = async (): Promise<void> => {
        const nowMs = monotonicNow();
        const own = { ...context.ownRecord(), heardAtMs: nowMs };
        store.dispatch({ kind: "records-heard", records: [own], nowMs });
        // Not awaited together with the pause: a silent peer must not hold up the rounds with others.
        turn += 1;
        choosePeerAddresses(listPeerAddresses(store.get(), cfg), turn, Math.random).forEach(address =>
            void ask(address)
        );
    };
    const stopListening = store.registerListener((view, previous) => {
        if (isOwnEntryLeaving(view, cfg.instance) && !isOwnEntryLeaving(previous, cfg.instance)) {
            const { local, remote } = listPeerAddresses(view, cfg);
            [...local, ...remote].slice(0, MAX_TOLD).forEach(address => void ask(address));
        }
    });
    const stopRounds = registerRepeat(
        round,
        () => ROUND_MS,
        err => log("error", "exchange-failed", { reason: describeError(err) }),
    );
    return () => {
        stopListening();
        stopRounds();
    };
};
