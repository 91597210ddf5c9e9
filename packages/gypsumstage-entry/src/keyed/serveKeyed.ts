import { attemptPeer } from "../attempt/attemptPeer.js";
import type { AttemptResult } from "../attempt/AttemptResult.js";
import { runAttempts } from "../attempt/runAttempts.js";
import type { EntryContext } from "../EntryContext.js";
import { findHome } from "../place/findHome.js";
import type { Exchange } from "../read/Exchange.js";
import { createProblemReply } from "../reply/createProblemReply.js";
import type { EntryReply } from "../reply/EntryReply.js";
import { toReply } from "../reply/toReply.js";
import { serveAtHome } from "./serveAtHome.js";

const createHomeAttemptReply = (attempt: AttemptResult, exchange: Exchange): EntryReply => {
    // This attempt did not reach the home, but an earlier one with the same key may have run there.
    if (attempt.kind === "not-sent") {
        return createProblemReply(
            "key-home-lost",
            "unknown",
            `the home cannot be reached: ${attempt.reason}`,
        );
    }
    return toReply(attempt, exchange);
};

/**
 * Serves a request that must run at most once; only the home of its key may decide to run it.
 *
 * @param context - the view and the platform that determine the home, and the key table
 * @param exchange - the request
 * @param key - the idempotency key
 * @returns the reply to the caller
 */
export const serveKeyed = async (
    context: EntryContext,
    exchange: Exchange,
    key: string,
): Promise<EntryReply> => {
    if (exchange.source.kind === "peer" && exchange.source.isKeyChecked) {
        return toReply(await runAttempts(context, exchange), exchange);
    }
    const home = await findHome(context, exchange, key);
    switch (home.kind) {
        case "here":
            return serveAtHome(context, exchange, key, home.madeAtMs);
        case "elsewhere":
            return createHomeAttemptReply(
                await attemptPeer(context, exchange, home.peer, home.headers),
                exchange,
            );
        case "lost":
            return createProblemReply("key-home-lost", "unknown", home.reason);
        case "unclaimed":
            return createProblemReply("key-claim-failed", "not-run", home.reason);
    }
};
