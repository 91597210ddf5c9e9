import type { LookupAnswer } from "@gypsumstage/domain/LookupAnswer";
import type { Outcome } from "@gypsumstage/domain/Outcome";
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
const IDLE_CONNECTION_MS = 1_500;
const MS_PER_SECOND = 1_000;
const RANDOM_BYTES = 12;

interface CachedAnswer {
    readonly answer: LookupAnswer;
    readonly untilMs: number;
}

/**
 * Creates a caller. It asks a look-up process, keeps the answer for its time to live, and sends to the best instance;
 * a request that was certainly not run, or that may be repeated, goes to the next one.
 *
 * @param lookups - addresses of look-up processes, tried in this order
 * @returns the caller
 */
export const createCaller = (lookups: readonly string[]): Caller => {
    const agent = new Agent({
        connect: { timeout: CONNECT_TIMEOUT_MS },
        keepAliveTimeout: IDLE_CONNECTION_MS,
        keepAliveMaxTimeout: IDLE_CONNECTION_MS,
        pipelining: 1,
    });
    const cache = new Map<string, CachedAnswer>();
    const ask = async (address: string, service: string): Promise<LookupAnswer | undefined> => {
        try {
            const signal = AbortSignal.timeout(LOOKUP_TIMEOUT_MS);
            const res = await request(`http://${address}/v1/lookup?service=${service}`, {
                dispatcher: agent,
                signal,
            });
            const answer = await res.body.json() as LookupAnswer;
            return res.statusCode === 200 ? answer : undefined;
        }
        catch {
            return undefined;
        }
    };
    const lookup = async (service: string): Promise<LookupAnswer> => {
        const held = cache.get(service);
        if (held !== undefined && held.untilMs > monotonicNow()) {
            return held.answer;
        }
        for (const address of lookups) {
            const answer = await ask(address, service);
            if (answer !== undefined) {
                cache.set(service, { answer, untilMs: monotonicNow() + answer.ttlSeconds * MS_PER_SECOND });
                return answer;
            }
        }
        // Cached answers stay usable while no look-up process answers.
        invariant(held, "process-failed");
        return held.answer;
    };
    const sendOnce = async (
        address: string,
        req: CallerRequest,
        key: string | undefined,
    ): Promise<Omit<CallerResult, "latencyMs" | "tries" | "key">> => {
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
                outcome: res.headers["gypsumstage-outcome"] as Outcome,
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
        const maxTries = req.maxTries ?? 1;
        const first = await lookup(req.service);
        const made = `${first.home ?? ""}.${Date.now()}.${randomBytes(RANDOM_BYTES).toString("hex")}`;
        const key = req.key ?? (req.isKeyed === true ? made : undefined);
        for (let tries = 1;; tries++) {
            const { instances } = tries === 1 ? first : await lookup(req.service);
            const instance =
                instances[(tries - 1 + (req.firstInstance ?? 0)) % Math.max(1, instances.length)];
            invariant(instance, "process-failed");
            const res = await sendOnce(instance.address, req, key);
            if (res.outcome === "served" || tries >= maxTries) {
                return { ...res, latencyMs: monotonicNow() - startedAtMs, tries, key };
            }
        }
    };
    return { send, lookup, stop: () => agent.destroy() };
};
