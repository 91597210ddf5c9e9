import type { Log } from "@gypsumstage/shared/Log";
import type { RpcClient } from "@gypsumstage/shared/RpcClient";
import { startPeriodicTask } from "@gypsumstage/shared/startPeriodicTask";
import { chooseAtRandom } from "@gypsumstage/steering/traffic/chooseAtRandom";
import { chooseCollectors } from "@gypsumstage/steering/traffic/chooseCollectors";
import type { PeerState } from "@gypsumstage/steering/traffic/PeerState";
import { takePendingNotices } from "@gypsumstage/steering/traffic/takePendingNotices";
import type { PeerExchange } from "../peers/PeerExchange.js";
import type { Notice } from "./Notice.js";
import type { NoticeExchange } from "./NoticeExchange.js";
import type { NoticeTopic } from "./NoticeTopic.js";

/** Instances that get a notice in a round, and rounds in which an instance sends it after it has learnt it. */
const FANOUT = 3;
const ROUNDS = 6;
/** Rounds in which a preliminary notice is sent to its collectors, as messages may be lost. */
const PRELIMINARY_ROUNDS = 3;
const ROUND_INTERVAL_MS = 100;
/** Pause before the first round, in which further changes may join it. */
const FIRST_ROUND_DELAY_MS = 10;
const MAX_NOTICES_PER_ROUND = 24;
/** Keeps a datagram below the usual packet size of 1,500 bytes. */
const MAX_NOTICES_PER_DATAGRAM = 6;
/** Pause between two checks whether this instance is cut off, and between two attempts to fetch all notices. */
const CUT_OFF_CHECK_INTERVAL_MS = 200;
const FETCH_INTERVAL_MS = 50;
/** Share of the known instances that are silent from which on an instance counts as cut off. */
const MAX_SILENT_SHARE = 0.5;

const splitIntoChunks = <Item>(items: readonly Item[], size: number): readonly (readonly Item[])[] =>
    Array.from(
        { length: Math.ceil(items.length / size) },
        (...[, index]) => items.slice(index * size, (index + 1) * size),
    );

interface PendingNotice {
    readonly notice: Notice;
    readonly key: string;
    readonly isPreliminary: boolean;
}

const isDefined = (pending: PendingNotice | undefined): pending is PendingNotice => pending !== undefined;

/**
 * Starts the exchange of notices. Each instance that learns a new one sends it to a few others at random for a few rounds,
 * so the messages of an instance don't depend on the size of the fleet, and the time until all know it grows with its
 * logarithm only. Preliminary notices, which are many when endpoints end, go to two instances only. An instance that has started, or was cut off, fetches all notices from another one, and spreads its own again.
 *
 * @param ownName - name of this instance
 * @param topics - the kinds of notices
 * @param peers - sends and receives notices, and knows the other instances
 * @param rpc - client for RPC calls to other instances
 * @param log - receives fetches of all notices
 * @returns the exchange
 */
export const startNoticeExchange = (
    ownName: string,
    topics: readonly NoticeTopic[],
    peers: Pick<PeerExchange, "live" | "all" | "notify" | "registerNoticeListener">,
    rpc: Pick<RpcClient, "call">,
    log: Log,
): NoticeExchange => {
    let pending: ReadonlyMap<string, number> = new Map();
    let timer: NodeJS.Timeout | undefined;
    let isCutOff = true;
    const findPending = (pendingKey: string): PendingNotice | undefined => {
        const separator = pendingKey.indexOf("/");
        const topic = topics.find(each => each.name === pendingKey.slice(0, separator));
        const key = pendingKey.slice(separator + 1);
        const content = topic?.read(key);
        return topic === undefined || content === undefined
            ? undefined
            : { notice: { topic: topic.name, content }, key, isPreliminary: topic.isPreliminary(key) };
    };
    const listCollectors = (key: string, live: readonly PeerState[]): readonly PeerState[] => {
        const collectors = chooseCollectors(key, [ownName, ...live.map(peer => peer.report.name)]);
        return live.filter(peer => collectors.includes(peer.report.name));
    };
    const sendRound = (): void => {
        timer = undefined;
        const round = takePendingNotices(pending, MAX_NOTICES_PER_ROUND);
        pending = round.pending;
        const live = peers.live();
        const targets = chooseAtRandom(live, FANOUT, Math.random);
        const noticesByTarget = new Map<PeerState, readonly Notice[]>();
        for (const { notice, key, isPreliminary } of round.keys.map(findPending).filter(isDefined)) {
            for (const target of isPreliminary ? listCollectors(key, live) : targets) {
                noticesByTarget.set(target, [...noticesByTarget.get(target) ?? [], notice]);
            }
        }
        for (const [target, notices] of noticesByTarget) {
            splitIntoChunks(notices, MAX_NOTICES_PER_DATAGRAM).forEach(chunk => peers.notify(chunk, target));
        }
        scheduleRound(ROUND_INTERVAL_MS);
    };
    const scheduleRound = (delayMs: number): void => {
        if (timer === undefined && pending.size > 0) {
            timer = setTimeout(sendRound, delayMs);
        }
    };
    const spread = (topic: NoticeTopic, keys: readonly string[]): void => {
        const getRounds = (key: string): number => topic.isPreliminary(key) ? PRELIMINARY_ROUNDS : ROUNDS;
        const added = keys.map(key => [`${topic.name}/${key}`, getRounds(key)] as const);
        pending = new Map([...pending, ...added]);
        scheduleRound(FIRST_ROUND_DELAY_MS);
    };
    const receive = (notices: readonly Notice[]): void => {
        for (const { topic: name, content } of notices) {
            const topic = topics.find(each => each.name === name);
            const changedKey = topic?.merge(content);
            if (topic !== undefined && changedKey !== undefined) {
                spread(topic, [changedKey]);
            }
        }
    };
    const synchronize = async (): Promise<void> => {
        const live = peers.live();
        if (live.length === 0 || live.length < MAX_SILENT_SHARE * peers.all().length) {
            isCutOff = true;
            return;
        }
        if (!isCutOff) {
            return;
        }
        const [peer] = chooseAtRandom(live, 1, Math.random);
        if (peer === undefined) {
            return;
        }
        const res = await rpc.call<readonly Notice[]>(peer.report.internalAddress, "notices.read", {});
        if (!res.ok) {
            log("warn", "notices-fetch-failed", { peer: peer.report.name, error: res.error });
            return;
        }
        isCutOff = false;
        receive(res.value);
        topics.forEach(topic => spread(topic, topic.keys()));
        log("info", "notices-fetched", { peer: peer.report.name, notices: res.value.length });
    };
    const unregisterListeners = [
        peers.registerNoticeListener(receive),
        ...topics.map(topic => topic.registerListener(key => spread(topic, [key]))),
    ];
    const stopSync = startPeriodicTask(
        synchronize,
        () => isCutOff ? FETCH_INTERVAL_MS : CUT_OFF_CHECK_INTERVAL_MS,
        err => {
            log("error", "notices-fetch-failed", { reason: String(err) });
        },
    );
    return {
        readAll: () =>
            topics
                .flatMap(topic => topic.keys().map(key => findPending(`${topic.name}/${key}`)))
                .filter(isDefined)
                .map(({ notice }) => notice),
        stop: () => {
            clearTimeout(timer);
            stopSync();
            unregisterListeners.forEach(unregister => unregister());
        },
    };
};
