import { createProblem } from "./createProblem.js";
import type { EntryContext } from "./EntryContext.js";
import type { EntryReply } from "./EntryReply.js";
import type { Exchange } from "./Exchange.js";
import { replyFor } from "./replyFor.js";
import { runAttempts } from "./runAttempts.js";
import { serveKeyed } from "./serveKeyed.js";

/**
 * Serves a request whose class is known.
 *
 * @param context - the process
 * @param exchange - the request
 * @returns the reply
 */
export const serveRequest = async (context: EntryContext, exchange: Exchange): Promise<EntryReply> => {
    if (exchange.cls.isIdempotent) {
        return replyFor(await runAttempts(context, exchange), exchange);
    }
    if (exchange.key === undefined) {
        return createProblem(
            "key-required",
            "not-run",
            `class ${exchange.cls.name} must run once: send an Idempotency-Key`,
        );
    }
    return serveKeyed(context, exchange, exchange.key);
};
