import type { EntryStatus } from "@gypsumstage/domain/EntryStatus";
import { createHttpPlatform } from "@gypsumstage/platform/createHttpPlatform";
import { createApp } from "@gypsumstage/shared/createApp";
import { createNonce } from "@gypsumstage/shared/createNonce";
import { createRpcClient } from "@gypsumstage/shared/createRpcClient";
import { createStore } from "@gypsumstage/shared/createStore";
import type { InstanceSettings } from "@gypsumstage/shared/InstanceSettings";
import { invariant } from "@gypsumstage/shared/invariant";
import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { parseAddress } from "@gypsumstage/shared/parseAddress";
import { registerMetrics } from "@gypsumstage/shared/registerMetrics";
import { sleep } from "@gypsumstage/shared/sleep";
import { startTracing } from "@gypsumstage/shared/startTracing";
import { createKeyTable } from "@gypsumstage/steering/createKeyTable";
import { EMPTY_VIEW } from "@gypsumstage/steering/EMPTY_VIEW";
import type { EndpointEvent } from "@gypsumstage/steering/EndpointEvent";
import type { EndpointState } from "@gypsumstage/steering/EndpointState";
import { updateAttemptBudget } from "@gypsumstage/steering/updateAttemptBudget";
import { updateEndpoints } from "@gypsumstage/steering/updateEndpoints";
import { updateView } from "@gypsumstage/steering/updateView";
import { registerViewSync } from "@gypsumstage/view/registerViewSync";
import type { FastifyInstance } from "fastify";
import { Agent } from "undici";
import { createBudgetKeeper } from "./createBudgetKeeper.js";
import { createClassCaps } from "./createClassCaps.js";
import { createEntryMetrics } from "./createEntryMetrics.js";
import { createEntryServer } from "./createEntryServer.js";
import { createLatencyKeeper } from "./createLatencyKeeper.js";
import { createLinkPacers } from "./createLinkPacers.js";
import { createMoveRamps } from "./createMoveRamps.js";
import { createPlaces } from "./createPlaces.js";
import { createRequestHandler } from "./createRequestHandler.js";
import { createSlotQueue } from "./createSlotQueue.js";
import type { EntryContext } from "./EntryContext.js";
import { registerEndpointListing } from "./registerEndpointListing.js";
import type { StoredAnswer } from "./StoredAnswer.js";

const RPC_TIMEOUT_MS = 1_000;
const CONNECT_TIMEOUT_MS = 400;
/** Shorter than the idle time of every server that we connect to, so that we close first. */
const IDLE_CONNECTION_MS = 4_000;
const KEY_CAPACITY = 200_000;
const KEY_WINDOW_MS = 600_000;
const FIRST_TOKENS = 1;
const TICK_MS = 100;
/** Time to live of look-up answers and the longest lag of the views behind them. */
const LEAVING_NOTICE_MS = 5_000;

const createSteadyClock = (): () => number => {
    const startedAtMs = Date.now() - monotonicNow();
    return () => startedAtMs + monotonicNow();
};

const listenAt = async (app: FastifyInstance, text: string): Promise<void> => {
    const address = parseAddress(text);
    invariant(address, "address-malformed");
    await app.listen({ host: address.host, port: address.port });
};

const describeEntry = (context: EntryContext): EntryStatus => {
    const inFlight: Record<string, number> = {};
    const drainedInFlight: Record<string, number> = {};
    for (const endpoint of context.endpoints.get()) {
        inFlight[endpoint.service] = (inFlight[endpoint.service] ?? 0) + endpoint.inFlight;
        if (endpoint.isLeaving && endpoint.inFlight > 0) {
            drainedInFlight[endpoint.name] = endpoint.inFlight;
        }
    }
    return {
        incarnation: context.incarnation,
        isLeaving: context.isLeaving(),
        generation: context.view.get().configuration?.generation ?? 0,
        inFlight,
        freeSlots: context.slots.freeSlots(),
        demand: { ...context.classCaps.demand(), ...context.linkPacers.demand() },
        drainedInFlight,
        acknowledged: context.places.acknowledged(),
    };
};

/**
 * Starts the entry process: the servers for callers and for other entries, and the tasks that follow the view.
 *
 * @param cfg - settings of the instance
 * @param log - the log
 * @returns the function that stops it: it announces that it leaves, waits until look-ups name it no longer, then
 * finishes what is in flight
 */
export const startEntry = async (cfg: InstanceSettings, log: Log): Promise<() => Promise<void>> => {
    let isLeaving = false;
    const rpc = createRpcClient(RPC_TIMEOUT_MS);
    const tracing = startTracing("gypsumstage-entry", cfg.trace.exporter);
    const view = createStore(EMPTY_VIEW, updateView);
    const endpoints = createStore<readonly EndpointState[], EndpointEvent>([], updateEndpoints);
    const places = createPlaces(cfg, view, endpoints);
    const budgets = createBudgetKeeper(cfg, view, () => places.get().isOwner);
    const classCaps = createClassCaps(cfg.instance.region, budgets.usable);
    const linkPacers = createLinkPacers(cfg.instance.region, budgets.usable);
    const slots = createSlotQueue(endpoints, classCaps, places.mayUseExtra);
    const keys = createKeyTable<StoredAnswer>({
        capacity: KEY_CAPACITY,
        windowMs: KEY_WINDOW_MS,
        nowMs: createSteadyClock(),
    });
    const platform = createHttpPlatform(cfg.platform.address, cfg.instance.sourceAddress);
    const agent = new Agent({
        connect: { timeout: CONNECT_TIMEOUT_MS },
        ...(cfg.instance.sourceAddress === undefined ? {} : { localAddress: cfg.instance.sourceAddress }),
        keepAliveTimeout: IDLE_CONNECTION_MS,
        keepAliveMaxTimeout: IDLE_CONNECTION_MS,
        pipelining: 1,
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    const viewAtMs = (): number => sync.syncedAtMs() ?? monotonicNow();
    const metrics = createEntryMetrics({
        freeSlots: slots.freeSlots,
        budgets: () =>
            budgets.list().map(({ resource }) => ({ resource, usable: budgets.usable(resource) ?? 0 })),
        viewAgeMs: () => monotonicNow() - viewAtMs(),
        generation: () => view.get().configuration?.generation ?? 0,
        keys: keys.size,
        slowedEndpoints: () => endpoints.get().filter(endpoint => endpoint.isSlowed).length,
    });
    const context: EntryContext = {
        cfg,
        log,
        incarnation: createNonce(),
        view,
        endpoints,
        places,
        budgets,
        classCaps,
        linkPacers,
        slots,
        latencies: createLatencyKeeper(endpoints),
        attempts: createStore({ tokens: FIRST_TOKENS }, updateAttemptBudget),
        moves: createMoveRamps(cfg.instance.region, view),
        keys,
        platform,
        dispatcher: agent,
        tracer: tracing.tracer,
        metrics,
        viewAtMs,
        isLeaving: () => isLeaving,
    };
    const sync = registerViewSync({
        role: "entry",
        steerAddress: cfg.listen.steer ?? cfg.steer.address,
        rpc,
        store: view,
        readStatus: () => describeEntry(context),
        log,
    });
    const stopFollowing = registerEndpointListing(context);
    const tick = setInterval(() => {
        context.moves.advance();
        slots.serve();
    }, TICK_MS);
    const onMalformed = (code: string): void => {
        metrics.rejected.inc({ reason: code });
        log("warn", "request-malformed", { code });
    };
    const callers = createEntryServer(createRequestHandler(context, false), onMalformed);
    const peers = createEntryServer(createRequestHandler(context, true), onMalformed);
    const admin = createApp(cfg.entry.metrics);
    registerMetrics(admin.app, metrics.registry);
    await listenAt(callers, cfg.listen.entry ?? cfg.entry.address);
    await listenAt(peers, cfg.listen.peer ?? cfg.entry.peer);
    await admin.listen();
    return async () => {
        isLeaving = true;
        await sync.syncNow();
        await sleep(LEAVING_NOTICE_MS);
        await callers.close();
        await peers.close();
        stopFollowing();
        clearInterval(tick);
        sync.stop();
        linkPacers.stop();
        await admin.app.close();
        await rpc.close();
        await agent.close();
        await platform.close();
        await tracing.stop();
    };
};
