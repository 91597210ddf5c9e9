import { runAttempts } from "./attempt/runAttempts.js";
import type { EntryContext } from "./EntryContext.js";
import { serveKeyed } from "./keyed/serveKeyed.js";
import type { Exchange } from "./read/Exchange.js";
import { createProblemReply } from "./reply/createProblemReply.js";
import type { EntryReply } from "./reply/EntryReply.js";
import { toReply } from "./reply/toReply.js";

/**
 * Serves a classified request. Requests of idempotent classes may be retried; others run at most once and need an
 * idempotency key.
 *
 * @param context - the modules of the entry process that make attempts and track keys
 * @param exchange - the request
 * @returns the reply to the caller
 */
export const serveRequest = async (context: EntryContext, exchange: Exchange): Promise<EntryReply> => {
    if (exchange.cls.isIdempotent) {
        return toReply(await runAttempts(context, exchange), exchange);
    }
    if (exchange.key === undefined) {
        return createProblemReply(
            "key-required",
            "not-run",
            `class ${exchange.cls.name} must run once: send an Idempotency-Key`,
        );
    }
    return serveKeyed(context, exchange, exchange.key);
};
