import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import { createStore } from "@gypsumstage/shared/createStore";
import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { hashText } from "@gypsumstage/steering/hashText";
import { ENDS_UNTIL_OPEN } from "@gypsumstage/steering/traffic/ENDS_UNTIL_OPEN";
import { findCulprits } from "@gypsumstage/steering/traffic/findCulprits";
import { findOpenUntil } from "@gypsumstage/steering/traffic/findOpenUntil";
import { listEndedRuns } from "@gypsumstage/steering/traffic/listEndedRuns";
import type { SuspectEvent } from "@gypsumstage/steering/traffic/SuspectEvent";
import type { SuspectRequest } from "@gypsumstage/steering/traffic/SuspectRequest";
import type { SuspectTable } from "@gypsumstage/steering/traffic/SuspectTable";
import { updateSuspects } from "@gypsumstage/steering/traffic/updateSuspects";
import { createChangeListeners } from "../notices/createChangeListeners.js";
import type { RequestFingerprint } from "../request/RequestFingerprint.js";
import type { BrokenAttempt } from "./BrokenAttempt.js";
import { createBrokenAttempts } from "./createBrokenAttempts.js";
import { decodeSuspect } from "./decodeSuspect.js";
import { encodeSuspect } from "./encodeSuspect.js";
import type { SuspectRequests } from "./SuspectRequests.js";
import type { SuspectVerdict } from "./SuspectVerdict.js";

/** Time between two probes of a request, and wait of its repeats at the instances that don't probe it. */
const PROBE_INTERVAL_MS = 30_000;
/** Ends from which on all instances are told; most requests that were in flight at an endpoint's end never have a second. */
const ENDS_UNTIL_SPREAD = 2;
const EXPIRY_INTERVAL_MS = 1_000;
const RUN_HASH_RADIX = 36;
const ALLOWED: SuspectVerdict = { kind: "allowed" };

const getRun = (endpoint: UpstreamEndpoint): string =>
    hashText(`${endpoint.id}/${endpoint.startedAt}`).toString(RUN_HASH_RADIX);

/**
 * Creates the record of suspect requests, a circuit breaker for each request that ends endpoints. While it is open, every
 * instance refuses the request; after that one of them probes it from time to time.
 *
 * @param isProber - returns whether this instance probes the request with the given digest
 * @param log - receives each request that is found to end endpoints
 * @returns the record, empty
 */
export const createSuspectRequests = (isProber: (digest: string) => boolean, log: Log): SuspectRequests => {
    const suspects = createStore<SuspectTable, SuspectEvent>(new Map(), updateSuspects);
    const brokenAttempts = createBrokenAttempts();
    const probedAtMs = new Map<string, number>();
    const listeners = createChangeListeners();
    let nextExpiryAtMs = 0;
    let headHashes: ReadonlySet<number> = new Set();
    let culprits: ReadonlySet<string> = new Set();
    suspects.registerListener(table => {
        headHashes = new Set([...table.values()].map(suspect => suspect.headHash));
        const known = culprits;
        culprits = findCulprits(table);
        for (const digest of [...culprits].filter(each => !known.has(each))) {
            const ends = table.get(digest)?.endedAtMs.size;
            log("warn", "request-ends-endpoints", { fingerprint: digest, ends });
        }
        for (const digest of [...probedAtMs.keys()].filter(each => !table.has(each))) {
            probedAtMs.delete(digest);
        }
    });
    const find = (fingerprint: RequestFingerprint): SuspectRequest | undefined =>
        headHashes.size > 0 && headHashes.has(fingerprint.headHash)
            ? suspects.get().get(fingerprint.digest)
            : undefined;
    const dispatchAndSpread = (digest: string, event: SuspectEvent): void => {
        const before = suspects.get().get(digest);
        suspects.dispatch(event);
        if (suspects.get().get(digest) !== before) {
            listeners.notify(digest);
        }
    };
    /** Allows one probe of a request whose circuit breaker is no longer open. */
    const judgeProbe = (digest: string, nowMs: number): SuspectVerdict => {
        const nextAtMs = (probedAtMs.get(digest) ?? -Infinity) + PROBE_INTERVAL_MS;
        if (nowMs < nextAtMs || !isProber(digest)) {
            return { kind: "refused", retryAfterMs: PROBE_INTERVAL_MS };
        }
        probedAtMs.set(digest, nowMs);
        log("info", "request-probed", { fingerprint: digest });
        return ALLOWED;
    };
    const dropExpired = (nowMs: number): void => {
        if (nowMs >= nextExpiryAtMs) {
            nextExpiryAtMs = nowMs + EXPIRY_INTERVAL_MS;
            suspects.dispatch({ kind: "expired", nowMs });
        }
    };
    const judge = (fingerprint: RequestFingerprint, isRetry: boolean): SuspectVerdict => {
        const nowMs = monotonicNow();
        dropExpired(nowMs);
        const suspect = find(fingerprint);
        if (suspect !== undefined && culprits.has(suspect.digest)) {
            const openUntilMs = findOpenUntil(suspect);
            return nowMs < openUntilMs
                ? { kind: "refused", retryAfterMs: openUntilMs - nowMs }
                : judgeProbe(suspect.digest, nowMs);
        }
        const pendingEnds = isRetry ? brokenAttempts.countRuns(fingerprint) : 0;
        const ends = suspect === undefined ? 0 : listEndedRuns(suspect).length;
        return pendingEnds > 0 && ends + pendingEnds >= ENDS_UNTIL_OPEN
            ? { kind: "refused", retryAfterMs: PROBE_INTERVAL_MS }
            : ALLOWED;
    };
    const recordEnds = (run: string, attempts: readonly BrokenAttempt[]): void => {
        for (const { fingerprint, atMs } of attempts) {
            const { digest, headHash } = fingerprint;
            const endedAtMs = new Map([[run, atMs]]);
            dispatchAndSpread(digest, {
                kind: "ended",
                suspect: { digest, headHash, endedAtMs, answeredAtMs: undefined },
            });
        }
    };
    return {
        judge,
        isSuspect: fingerprint => find(fingerprint) !== undefined,
        recordBroken: (endpoint, fingerprint) => brokenAttempts.add(getRun(endpoint), fingerprint, false),
        recordSilent: (endpoint, fingerprint) => brokenAttempts.add(getRun(endpoint), fingerprint, true),
        recordResponse: (endpoint, sentAtMs) => brokenAttempts.forgetSilent(getRun(endpoint), sentAtMs),
        recordReplaced: endpoint => {
            const run = getRun(endpoint);
            recordEnds(run, brokenAttempts.takeSilent(run));
        },
        recordSuccess: fingerprint => {
            brokenAttempts.forget(fingerprint);
            const suspect = find(fingerprint);
            if (suspect !== undefined) {
                dispatchAndSpread(suspect.digest, {
                    kind: "answered",
                    digest: suspect.digest,
                    atMs: monotonicNow(),
                });
            }
        },
        recordEnd: endpoint => {
            const run = getRun(endpoint);
            recordEnds(run, brokenAttempts.take(run));
        },
        recordAlive: endpoint => void brokenAttempts.take(getRun(endpoint)),
        forgetBroken: endpoint => void brokenAttempts.take(getRun(endpoint)),
        size: () => suspects.get().size,
        topic: {
            name: "suspects",
            keys: () => [...suspects.get().keys()],
            read: digest => {
                const suspect = suspects.get().get(digest);
                return suspect === undefined ? undefined : encodeSuspect(suspect, monotonicNow());
            },
            isPreliminary: digest => {
                const suspect = suspects.get().get(digest);
                return suspect !== undefined && suspect.endedAtMs.size < ENDS_UNTIL_SPREAD;
            },
            merge: content => {
                const suspect = decodeSuspect(content, monotonicNow());
                if (suspect === undefined) {
                    log("warn", "notice-malformed", { topic: "suspects" });
                    return undefined;
                }
                const before = suspects.get();
                suspects.dispatch({ kind: "ended", suspect });
                return suspects.get() === before ? undefined : suspect.digest;
            },
            registerListener: listeners.register,
        },
    };
};
