import type { KeySettlement } from "@gypsumstage/steering/KeySettlement";
import type { EntryContext } from "../EntryContext.js";
import { raceWithAbort } from "../raceWithAbort.js";
import type { Exchange } from "../read/Exchange.js";
import { createProblemReply } from "../reply/createProblemReply.js";
import type { EntryReply } from "../reply/EntryReply.js";
import { executeKeyed } from "./executeKeyed.js";
import type { StoredResponse } from "./StoredResponse.js";

const createSettlementReply = (settlement: KeySettlement<StoredResponse>): EntryReply => {
    switch (settlement.kind) {
        case "served":
            return settlement.answer.body === undefined
                ? createProblemReply(
                    "answer-not-kept",
                    "served",
                    "the request ran; its answer was too large to keep",
                )
                : { kind: "stored", answer: settlement.answer, isReplay: true };
        case "unknown":
            return createProblemReply(
                "upstream-failed",
                "unknown",
                "an earlier attempt with this key may have run",
            );
        case "not-run":
            return createProblemReply("no-capacity", "not-run", "an attempt with this key was refused");
    }
};

const waitForSettlement = async (
    settled: Promise<KeySettlement<StoredResponse>>,
    signal: AbortSignal,
): Promise<EntryReply> => {
    const settlement = await raceWithAbort(settled, signal);
    return settlement === undefined
        ? createProblemReply("deadline-passed", "unknown", "an earlier attempt with this key still runs")
        : createSettlementReply(settlement);
};

/**
 * Serves a request with an idempotency key at the home of the key.
 *
 * @param context - the key table of this entry, and the modules that make attempts
 * @param exchange - the request
 * @param key - the idempotency key
 * @param madeAtMs - time of the creation or claim of the key, in milliseconds since 1970
 * @returns the reply to the caller
 */
export const serveAtHome = async (
    context: EntryContext,
    exchange: Exchange,
    key: string,
    madeAtMs: number,
): Promise<EntryReply> => {
    const decision = context.keyTable.begin(key, madeAtMs, `${exchange.method} ${exchange.url}`);
    switch (decision.kind) {
        case "execute":
            return executeKeyed(context, exchange, key);
        case "join":
            return waitForSettlement(decision.settled, exchange.signal);
        case "replay":
            return createSettlementReply(decision.settlement);
        case "too-old":
            return createProblemReply("key-too-old", "unknown", "the key is older than its home remembers");
        case "from-the-future":
            return createProblemReply(
                "key-from-the-future",
                "not-run",
                "the time in the key is ahead of the home's clock",
            );
        case "full":
            return createProblemReply(
                "key-table-full",
                "not-run",
                "the home cannot remember another key now",
            );
        case "mismatch":
            return createProblemReply("key-mismatch", "not-run", "the key was used for another request");
    }
};
