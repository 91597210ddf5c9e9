import type { LookupResponse } from "@gypsumstage/domain/LookupResponse";
import type { RequestOutcome } from "@gypsumstage/domain/RequestOutcome";
import { describeError } from "@gypsumstage/shared/describeError";
import { invariant } from "@gypsumstage/shared/invariant";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { randomBytes } from "node:crypto";
import { Agent, type Dispatcher, request } from "undici";
import type { Caller } from "./Caller.js";
import type { CallerRequest } from "./CallerRequest.js";
import type { CallerResult } from "./CallerResult.js";

const CONNECT_TIMEOUT_MS = 500;
const LOOKUP_TIMEOUT_MS = 2_000;
const DEFAULT_TIMEOUT_MS = 10_000;
const KEEP_ALIVE_TIMEOUT_MS = 1_500;
const MS_PER_SECOND = 1_000;
const KEY_RANDOM_BYTES = 12;

interface CachedLookup {
    readonly response: LookupResponse;
    readonly expiresAtMs: number;
}

/**
 * Creates a caller. It sends a lookup request, caches the response for its time to live, and sends requests to the
 * best instance. A request that is not served is retried at the next instance, up to its `maxAttempts`.
 *
 * @param lookups - addresses of lookup processes, tried in this order
 * @returns the caller; its `stop` closes the connections
 */
export const createCaller = (lookups: readonly string[]): Caller => {
    const agent = new Agent({
        connect: { timeout: CONNECT_TIMEOUT_MS },
        keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
        keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
        pipelining: 1,
    });
    const cache = new Map<string, CachedLookup>();
    const fetchLookup = async (address: string, service: string): Promise<LookupResponse | undefined> => {
        try {
            const signal = AbortSignal.timeout(LOOKUP_TIMEOUT_MS);
            const res = await request(`http://${address}/v1/lookup?service=${service}`, {
                dispatcher: agent,
                signal,
            });
            const response = await res.body.json() as LookupResponse;
            return res.statusCode === 200 ? response : undefined;
        }
        catch {
            return undefined;
        }
    };
    const lookup = async (service: string): Promise<LookupResponse> => {
        const cached = cache.get(service);
        if (cached !== undefined && cached.expiresAtMs > monotonicNow()) {
            return cached.response;
        }
        for (const address of lookups) {
            const response = await fetchLookup(address, service);
            if (response !== undefined) {
                cache.set(service, {
                    response,
                    expiresAtMs: monotonicNow() + response.ttlSeconds * MS_PER_SECOND,
                });
                return response;
            }
        }
        // An expired response stays usable while no lookup process responds.
        invariant(cached, "process-failed");
        return cached.response;
    };
    const sendAttempt = async (
        address: string,
        req: CallerRequest,
        key: string | undefined,
    ): Promise<Omit<CallerResult, "latencyMs" | "attempts" | "key">> => {
        const headers = { "request-id": req.id, ...(key === undefined ? {} : { "idempotency-key": key }) };
        const opts: Dispatcher.RequestOptions = {
            origin: `http://${address}`,
            path: req.path,
            method: req.method,
            headers,
            signal: AbortSignal.timeout(req.timeoutMs ?? DEFAULT_TIMEOUT_MS),
            ...(req.body === undefined ? {} : { body: req.body }),
        };
        try {
            const res = await agent.request(opts);
            const body = await res.body.text();
            return {
                outcome: res.headers["gypsumstage-outcome"] as RequestOutcome,
                status: res.statusCode,
                body,
                headers: res.headers,
            };
        }
        catch (err) {
            return { outcome: "lost", status: 0, body: describeError(err), headers: {} };
        }
    };
    const send = async (req: CallerRequest): Promise<CallerResult> => {
        const startedAtMs = monotonicNow();
        const maxAttempts = req.maxAttempts ?? 1;
        const firstLookup = await lookup(req.service);
        const newKey = `${firstLookup.home ?? ""}.${Date.now()}.${
            randomBytes(KEY_RANDOM_BYTES).toString("hex")
        }`;
        const key = req.key ?? (req.isKeyed === true ? newKey : undefined);
        for (let attempt = 1;; attempt++) {
            const { instances } = attempt === 1 ? firstLookup : await lookup(req.service);
            const instance =
                instances[(attempt - 1 + (req.firstInstanceIndex ?? 0)) % Math.max(1, instances.length)];
            invariant(instance, "process-failed");
            const res = await sendAttempt(instance.address, req, key);
            if (res.outcome === "served" || attempt >= maxAttempts) {
                return { ...res, latencyMs: monotonicNow() - startedAtMs, attempts: attempt, key };
            }
        }
    };
    return { send, lookup, stop: () => agent.destroy() };
};
