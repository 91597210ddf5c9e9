import { createHttpPlatform } from "@gypsumstage/platform/createHttpPlatform";
import { createHttpServer } from "@gypsumstage/shared/createHttpServer";
import { createRpcClient } from "@gypsumstage/shared/createRpcClient";
import type { InstanceSettings } from "@gypsumstage/shared/InstanceSettings";
import { invariant } from "@gypsumstage/shared/invariant";
import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { parseAddress } from "@gypsumstage/shared/parseAddress";
import { registerMetrics } from "@gypsumstage/shared/registerMetrics";
import { sleep } from "@gypsumstage/shared/sleep";
import { startTracing } from "@gypsumstage/shared/startTracing";
import { registerViewSync } from "@gypsumstage/view/registerViewSync";
import type { FastifyInstance } from "fastify";
import { createUpstreamAgent } from "./attempt/createUpstreamAgent.js";
import { createEntryContext } from "./createEntryContext.js";
import { createEntryServer } from "./createEntryServer.js";
import { createRequestHandler } from "./createRequestHandler.js";
import { describeEntry } from "./describeEntry.js";
import type { EntryContext } from "./EntryContext.js";
import { registerEndpointListUpdates } from "./registerEndpointListUpdates.js";

const RPC_TIMEOUT_MS = 1_000;
const RPC_RESEND_AFTER_MS = 300;
const TICK_INTERVAL_MS = 100;
/** Longer than the time to live of lookup responses plus the lag of the views from which they are computed. */
const LEAVING_PHASE_MS = 5_000;

const listenAt = async (app: FastifyInstance, addressText: string): Promise<void> => {
    const address = parseAddress(addressText);
    invariant(address, "address-malformed");
    await app.listen({ host: address.host, port: address.port });
};

const registerTick = ({ moveRamps, slotQueue }: EntryContext): () => void => {
    const timer = setInterval(() => {
        moveRamps.advance();
        slotQueue.assignFreeSlots();
    }, TICK_INTERVAL_MS);
    return () => clearInterval(timer);
};

/**
 * Starts the entry process: the servers for callers and for other entries, and the tasks that apply changes of the
 * view.
 *
 * @param cfg - settings of the instance
 * @param log - receives the log events of the process
 * @returns the function that stops the process: it announces that the entry is leaving, waits until lookups no longer
 * return it, then closes the servers once the requests in flight have finished
 */
export const startEntry = async (cfg: InstanceSettings, log: Log): Promise<() => Promise<void>> => {
    let isLeaving = false;
    const { sourceAddress } = cfg.instance;
    const rpc = createRpcClient(RPC_TIMEOUT_MS, {
        resendAfterMs: RPC_RESEND_AFTER_MS,
        onResend: (address, reason) => log("info", "rpc-resent", { address, reason }),
    });
    const tracing = startTracing("gypsumstage-entry", cfg.trace.exporter);
    const platform = createHttpPlatform(cfg.platform.address, sourceAddress);
    const agent = createUpstreamAgent(sourceAddress);
    const context = createEntryContext({
        cfg,
        log,
        platform,
        dispatcher: agent,
        tracer: tracing.tracer,
        viewAtMs: () => sync.syncedAtMs() ?? monotonicNow(),
        isLeaving: () => isLeaving,
    });
    const sync = registerViewSync({
        role: "entry",
        steerAddress: cfg.listen.steer ?? cfg.steer.address,
        rpc,
        store: context.view,
        readStatus: () => describeEntry(context),
        log,
    });
    const teardowns = [
        registerEndpointListUpdates(context),
        registerTick(context),
        sync.stop,
        context.linkPacers.stop,
    ];
    const onMalformed = (code: string): void => {
        context.metrics.malformed.inc({ reason: code });
        log("warn", "request-malformed", { code });
    };
    const callerServer = createEntryServer(createRequestHandler(context, false), onMalformed);
    const peerServer = createEntryServer(createRequestHandler(context, true), onMalformed);
    const admin = createHttpServer(cfg.entry.metrics);
    registerMetrics(admin.app, context.metrics.registry);
    await listenAt(callerServer, cfg.listen.entry ?? cfg.entry.address);
    await listenAt(peerServer, cfg.listen.peer ?? cfg.entry.peer);
    await admin.listen();
    return async () => {
        isLeaving = true;
        await sync.syncNow();
        await sleep(LEAVING_PHASE_MS);
        await callerServer.close();
        await peerServer.close();
        teardowns.forEach(teardown => teardown());
        await admin.app.close();
        await rpc.close();
        await agent.close();
        await platform.close();
        await tracing.stop();
    };
};
