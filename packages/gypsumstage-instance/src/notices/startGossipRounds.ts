import { chooseAtRandom } from "@gypsumstage/steering/traffic/chooseAtRandom";
import { chooseCollectors } from "@gypsumstage/steering/traffic/chooseCollectors";
import type { PeerState } from "@gypsumstage/steering/traffic/PeerState";
import { takePendingNotices } from "@gypsumstage/steering/traffic/takePendingNotices";
import type { PeerExchange } from "../peers/PeerExchange.js";
import type { GossipRounds } from "./GossipRounds.js";
import type { Notice } from "./Notice.js";
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

interface PendingNotice {
    readonly notice: Notice;
    readonly key: string;
    readonly isPreliminary: boolean;
}

const splitIntoChunks = <Item>(items: readonly Item[], size: number): readonly (readonly Item[])[] =>
    Array.from(
        { length: Math.ceil(items.length / size) },
        (...[, index]) => items.slice(index * size, (index + 1) * size),
    );

/**
 * Starts the rounds. Each instance that learns a notice sends it to a few others at random for a few rounds, so the messages
 * of an instance don't depend on the size of the fleet, and the time until all know it grows with its logarithm only.
 * Preliminary notices, which are many when endpoints end, go to their collectors only.
 *
 * @param ownName - name of this instance
 * @param topics - the kinds of notices
 * @param peers - sends notices, and knows the other instances
 * @returns the rounds, with nothing to send
 */
export const startGossipRounds = (
    ownName: string,
    topics: readonly NoticeTopic[],
    peers: Pick<PeerExchange, "live" | "notify">,
): GossipRounds => {
    let pending: ReadonlyMap<string, number> = new Map();
    let timer: NodeJS.Timeout | undefined;
    const getPendingKey = (topic: NoticeTopic, key: string): string => `${topic.name}/${key}`;
    const findPending = (pendingKey: string): PendingNotice | undefined => {
        const separator = pendingKey.indexOf("/");
        const key = pendingKey.slice(separator + 1);
        const topic = topics.find(each => each.name === pendingKey.slice(0, separator));
        const content = topic?.read(key);
        return topic === undefined || content === undefined
            ? undefined
            : { notice: { topic: topic.name, content }, key, isPreliminary: topic.isPreliminary(key) };
    };
    const listCollectors = (key: string, live: readonly PeerState[]): readonly PeerState[] => {
        const collectors = chooseCollectors(key, [ownName, ...live.map(peer => peer.report.name)]);
        return live.filter(peer => collectors.includes(peer.report.name));
    };
    const groupByTarget = (pendingKeys: readonly string[]): ReadonlyMap<PeerState, readonly Notice[]> => {
        const live = peers.live();
        const randomTargets = chooseAtRandom(live, FANOUT, Math.random);
        const groups = new Map<PeerState, readonly Notice[]>();
        for (const found of pendingKeys.map(findPending)) {
            if (found === undefined) {
                continue;
            }
            const targets = found.isPreliminary ? listCollectors(found.key, live) : randomTargets;
            targets.forEach(target => groups.set(target, [...groups.get(target) ?? [], found.notice]));
        }
        return groups;
    };
    const sendRound = (): void => {
        timer = undefined;
        const round = takePendingNotices(pending, MAX_NOTICES_PER_ROUND);
        pending = round.pending;
        for (const [target, notices] of groupByTarget(round.keys)) {
            splitIntoChunks(notices, MAX_NOTICES_PER_DATAGRAM).forEach(chunk => peers.notify(chunk, target));
        }
        scheduleRound(ROUND_INTERVAL_MS);
    };
    const scheduleRound = (delayMs: number): void => {
        if (timer === undefined && pending.size > 0) {
            timer = setTimeout(sendRound, delayMs);
        }
    };
    return {
        spread: (topic, keys) => {
            const getRounds = (key: string): number => topic.isPreliminary(key) ? PRELIMINARY_ROUNDS : ROUNDS;
            const added = keys.map(key => [getPendingKey(topic, key), getRounds(key)] as const);
            pending = new Map([...pending, ...added]);
            scheduleRound(FIRST_ROUND_DELAY_MS);
        },
        stop: () => clearTimeout(timer),
    };
};
