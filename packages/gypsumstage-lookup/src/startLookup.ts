import { createHttpServer } from "@gypsumstage/shared/createHttpServer";
import { createRpcClient } from "@gypsumstage/shared/createRpcClient";
import { createStore } from "@gypsumstage/shared/createStore";
import type { InstanceSettings } from "@gypsumstage/shared/InstanceSettings";
import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { registerMetrics } from "@gypsumstage/shared/registerMetrics";
import { EMPTY_VIEW } from "@gypsumstage/steering/EMPTY_VIEW";
import { updateView } from "@gypsumstage/steering/updateView";
import { registerViewSync } from "@gypsumstage/view/registerViewSync";
import { collectDefaultMetrics, Counter, Registry } from "prom-client";
import { createResponseCache } from "./createResponseCache.js";
import { LOOKUP_TTL_SECONDS } from "./LOOKUP_TTL_SECONDS.js";
import type { LookupError } from "./LookupError.js";

const RPC_TIMEOUT_MS = 1_000;
const RPC_RESEND_AFTER_MS = 300;
const STATUS_BY_ERROR: Readonly<Record<LookupError["kind"], number>> = {
    "service-missing": 400,
    "service-unknown": 404,
    "nothing-known": 503,
};

const RESPONSE_HEADERS = {
    "cache-control": `max-age=${LOOKUP_TTL_SECONDS}`,
    "content-type": "application/json; charset=utf-8",
};

/**
 * Starts the lookup process, which returns to callers the instances to use for a service.
 *
 * @param cfg - settings of the instance
 * @param log - receives changes in the reachability of the steer process, and errors
 * @returns a function that closes the listener and all connections
 */
export const startLookup = async (cfg: InstanceSettings, log: Log): Promise<() => Promise<void>> => {
    const store = createStore(EMPTY_VIEW, updateView);
    const rpc = createRpcClient(RPC_TIMEOUT_MS, {
        resendAfterMs: RPC_RESEND_AFTER_MS,
        onResend: (address, reason) => log("info", "rpc-resent", { address, reason }),
    });
    const registry = new Registry();
    collectDefaultMetrics({ register: registry });
    const lookups = new Counter({
        name: "gypsumstage_lookups_total",
        help: "Look-ups by result",
        labelNames: ["result"],
        registers: [registry],
    });
    const sync = registerViewSync({
        role: "lookup",
        steerAddress: cfg.listen.steer ?? cfg.steer.address,
        rpc,
        store,
        readStatus: () => undefined,
        log,
    });
    const { app, listen } = createHttpServer(cfg.listen.lookup ?? cfg.lookup.address);
    registerMetrics(app, registry);
    const cache = createResponseCache(() => ({
        view: store.get(),
        self: cfg.instance,
        viewAtMs: sync.syncedAtMs() ?? monotonicNow(),
        random: Math.random,
    }));
    app.get("/v1/lookup", (req, reply) => {
        const { service } = req.query as { readonly service?: string; };
        const res = cache.get(service);
        if (!res.ok) {
            lookups.inc({ result: res.error.kind });
            return reply.code(STATUS_BY_ERROR[res.error.kind]).send({ error: res.error });
        }
        lookups.inc({ result: "answered" });
        return reply.headers(RESPONSE_HEADERS).send(res.value);
    });
    await listen();
    return async () => {
        sync.stop();
        await app.close();
        await rpc.close();
    };
};
