import type { TimestampedRecord } from "@gypsumstage/domain/TimestampedRecord";
import type { EntryContext } from "../EntryContext.js";
import type { Exchange } from "../read/Exchange.js";
import { HEADERS } from "../read/HEADERS.js";
import type { HeaderFields } from "../reply/HeaderFields.js";
import type { AttemptResult } from "./AttemptResult.js";
import { sendAttempt } from "./sendAttempt.js";

/**
 * Makes one attempt by forwarding the request to the entry of another instance, which decides on its own whether it
 * serves the request.
 *
 * @param context - the settings of this instance, and the HTTP client
 * @param exchange - the request
 * @param peer - the other instance
 * @param headers - header fields to send in addition to those of the request
 * @returns the result of the attempt
 */
export const attemptPeer = async (
    context: EntryContext,
    exchange: Exchange,
    peer: Pick<TimestampedRecord, "name" | "region" | "peerAddress">,
    headers: HeaderFields,
): Promise<AttemptResult> => {
    const { name, region } = context.cfg.instance;
    const attempt = await sendAttempt(context, exchange, {
        address: peer.peerAddress,
        targetName: peer.name,
        remoteRegion: peer.region === region ? undefined : peer.region,
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
