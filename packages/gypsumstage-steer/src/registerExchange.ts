import type { ExchangeRequest } from "@gypsumstage/domain/ExchangeRequest";
import type { ExchangeResponse } from "@gypsumstage/domain/ExchangeResponse";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import { describeError } from "@gypsumstage/shared/describeError";
import type { InstanceSettings } from "@gypsumstage/shared/InstanceSettings";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { startPeriodicTask } from "@gypsumstage/shared/startPeriodicTask";
import { convertAgesToTimes } from "@gypsumstage/steering/convertAgesToTimes";
import { getHolderName } from "@gypsumstage/steering/getHolderName";
import { choosePeerAddress } from "./choosePeerAddress.js";
import { listPeerAddresses } from "./listPeerAddresses.js";
import type { SteerContext } from "./SteerContext.js";

const ROUND_INTERVAL_MS = 400;
/** Maximum number of peers that are contacted concurrently when the entry of this instance begins to leave. */
const MAX_NOTIFIED_PEERS = 64;

const buildRequest = (context: SteerContext, nowMs: number): ExchangeRequest => {
    const view = context.store.get();
    const sequences = view.records.map(record =>
        [getHolderName(record.name, record.launch), record.sequence] as const
    );
    return {
        own: context.getOwnRecord(),
        generation: view.configuration?.generation ?? 0,
        sequences: Object.fromEntries(sequences),
        membersAgeMs: view.membersReadAtMs === undefined ? undefined : nowMs - view.membersReadAtMs,
        planAgeMs: view.planConfirmedAtMs === undefined ? undefined : nowMs - view.planConfirmedAtMs,
    };
};

const applyResponse = ({ store }: SteerContext, res: ExchangeResponse, requestedAtMs: number): void => {
    if (res.configuration !== undefined) {
        store.dispatch({ kind: "configuration-seen", configuration: res.configuration });
    }
    if (res.members !== undefined && res.membersAgeMs !== undefined) {
        store.dispatch({
            kind: "members-read",
            members: res.members,
            readAtMs: requestedAtMs - res.membersAgeMs,
        });
    }
    if (res.plan !== undefined && res.planAgeMs !== undefined) {
        store.dispatch({ kind: "plan-read", plan: res.plan, readAtMs: requestedAtMs - res.planAgeMs });
    }
    store.dispatch({
        kind: "records-heard",
        records: convertAgesToTimes(res.records, requestedAtMs),
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
 * Pulls updates from one peer per round. Each request contains this instance's own record, so both sides receive
 * updates. When the entry of this instance begins to leave, many peers are contacted concurrently, because lookups must
 * stop returning the entry before it stops.
 *
 * @param context - the view that is exchanged, the RPC client and the settings
 * @returns a function that stops the exchange
 */
export const registerExchange = (context: SteerContext): () => void => {
    const { cfg, store, log } = context;
    const pullFrom = async (address: string): Promise<void> => {
        const requestedAtMs = monotonicNow();
        const res = await context.rpc.call<ExchangeResponse>(
            address,
            "exchange.pull",
            buildRequest(context, requestedAtMs),
        );
        if (res.ok) {
            applyResponse(context, res.value, requestedAtMs);
        }
        else {
            log("debug", "peer-unreachable", { error: res.error });
        }
    };
    let roundNumber = 0;
    const runRound = async (): Promise<void> => {
        const nowMs = monotonicNow();
        const ownRecord = { ...context.getOwnRecord(), lastSeenAtMs: nowMs };
        store.dispatch({ kind: "records-heard", records: [ownRecord], nowMs });
        // The response is not awaited: a peer that does not respond must not delay the rounds with other peers.
        roundNumber += 1;
        choosePeerAddress(listPeerAddresses(store.get(), cfg), roundNumber, Math.random).forEach(address =>
            void pullFrom(address)
        );
    };
    const unregisterListener = store.registerListener((view, previous) => {
        if (isOwnEntryLeaving(view, cfg.instance) && !isOwnEntryLeaving(previous, cfg.instance)) {
            const { local, remote } = listPeerAddresses(view, cfg);
            [...local, ...remote].slice(0, MAX_NOTIFIED_PEERS).forEach(address => void pullFrom(address));
        }
    });
    const stopRounds = startPeriodicTask(
        runRound,
        () => ROUND_INTERVAL_MS,
        err => log("error", "exchange-failed", { reason: describeError(err) }),
    );
    return () => {
        unregisterListener();
        stopRounds();
    };
};
