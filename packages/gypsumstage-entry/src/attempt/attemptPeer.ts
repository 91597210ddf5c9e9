import type { HeardRecord } from "@gypsumstage/domain/HeardRecord";
import type { AnswerHeaders } from "../answer/AnswerHeaders.js";
import type { EntryContext } from "../EntryContext.js";
import type { Exchange } from "../read/Exchange.js";
import { HEADERS } from "../read/HEADERS.js";
import type { Attempt } from "./Attempt.js";
import { sendAttempt } from "./sendAttempt.js";

/**
 * Makes one attempt through the entry of another place, which decides again whether it takes the request.
 *
 * @param context - the process
 * @param exchange - the request
 * @param peer - the other entry
 * @param headers - header fields beside those of the request
 * @returns what is known of the attempt
 */
export const attemptPeer = async (
    context: EntryContext,
    exchange: Exchange,
    peer: Pick<HeardRecord, "name" | "region" | "peerAddress">,
    headers: AnswerHeaders,
): Promise<Attempt> => {
    const { name, region } = context.cfg.instance;
    const attempt = await sendAttempt(context, exchange, {
        address: peer.peerAddress,
        place: peer.name,
        otherRegion: peer.region === region ? undefined : peer.region,
        headers: { ...headers, [HEADERS.hop]: `${region}/${name}` },
        signal: exchange.signal,
    });
    if (attempt.kind !== "answered") {
        return attempt;
    }
    const outcome = attempt.headers[HEADERS.outcome];
    if (outcome === "served") {
        return attempt;
    }
    attempt.body.resume();
    const reason = String(attempt.headers[HEADERS.reason] ?? "no reason given");
    return { kind: outcome === "not-run" ? "refused" : "unknown", reason };
};
