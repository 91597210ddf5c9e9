import type { Log } from "@gypsumstage/shared/Log";
import type { RpcClient } from "@gypsumstage/shared/RpcClient";
import type { PeerExchange } from "../peers/PeerExchange.js";
import type { Notice } from "./Notice.js";
import type { NoticeExchange } from "./NoticeExchange.js";
import type { NoticeTopic } from "./NoticeTopic.js";
import { registerNoticeFetch } from "./registerNoticeFetch.js";
import { startGossipRounds } from "./startGossipRounds.js";

const listNotices = (topic: NoticeTopic): readonly Notice[] =>
    topic.keys()
        .map(key => ({ topic: topic.name, content: topic.read(key) }))
        .filter(notice => notice.content !== undefined);

/**
 * Starts the exchange of notices: what changes here is spread by gossip, and so is what changes by a notice of another
 * instance. An instance that has started, or was cut off, fetches all notices from another one and spreads its own again.
 *
 * @param ownName - name of this instance
 * @param topics - the kinds of notices
 * @param peers - sends and receives notices, and knows the other instances
 * @param canMerge - returns whether this instance knows what the notices are about
 * @param rpc - client for RPC calls to other instances
 * @param log - receives fetches of all notices
 * @returns the exchange
 */
export const startNoticeExchange = (
    ownName: string,
    topics: readonly NoticeTopic[],
    peers: Pick<PeerExchange, "live" | "all" | "notify" | "registerNoticeListener">,
    canMerge: () => boolean,
    rpc: Pick<RpcClient, "call">,
    log: Log,
): NoticeExchange => {
    const rounds = startGossipRounds(ownName, topics, peers);
    const receive = (notices: readonly Notice[]): void => {
        for (const { topic: name, content } of notices) {
            const topic = topics.find(each => each.name === name);
            const changedKey = topic?.merge(content);
            if (topic !== undefined && changedKey !== undefined) {
                rounds.spread(topic, [changedKey]);
            }
        }
    };
    const receiveAll = (notices: readonly Notice[]): void => {
        receive(notices);
        topics.forEach(topic => rounds.spread(topic, topic.keys()));
    };
    const teardowns = [
        rounds.stop,
        peers.registerNoticeListener(receive),
        ...topics.map(topic => topic.registerListener(key => rounds.spread(topic, [key]))),
        registerNoticeFetch(peers, canMerge, rpc, receiveAll, log),
    ];
    return {
        readAll: () => topics.flatMap(listNotices),
        stop: () => teardowns.forEach(teardown => teardown()),
    };
};
