import type { ExchangeRequest } from "@gypsumstage/domain/ExchangeRequest";
import type { ViewSyncRequest } from "@gypsumstage/domain/ViewSyncRequest";
import { createHttpPlatform } from "@gypsumstage/platform/createHttpPlatform";
import { createHttpServer } from "@gypsumstage/shared/createHttpServer";
import { createRpcClient } from "@gypsumstage/shared/createRpcClient";
import { createStore } from "@gypsumstage/shared/createStore";
import type { InstanceSettings } from "@gypsumstage/shared/InstanceSettings";
import type { Log } from "@gypsumstage/shared/Log";
import { registerRpc } from "@gypsumstage/shared/registerRpc";
import { EMPTY_VIEW } from "@gypsumstage/steering/EMPTY_VIEW";
import { updateView } from "@gypsumstage/steering/updateView";
import { createHeadReadTracker } from "./createHeadReadTracker.js";
import { createLocalRoles } from "./createLocalRoles.js";
import { createMembersVersionCounter } from "./createMembersVersionCounter.js";
import { createOwnRecordProvider } from "./createOwnRecordProvider.js";
import { handleExchangePull } from "./handleExchangePull.js";
import { handleViewSync } from "./handleViewSync.js";
import { registerBudgetPlan } from "./registerBudgetPlan.js";
import { registerChangeRoutes } from "./registerChangeRoutes.js";
import { registerExchange } from "./registerExchange.js";
import { registerHeadWatch } from "./registerHeadWatch.js";
import { registerMembersReads } from "./registerMembersReads.js";
import { registerQueryRoutes } from "./registerQueryRoutes.js";
import { registerSteerMetrics } from "./registerSteerMetrics.js";
import type { SteerContext } from "./SteerContext.js";

const RPC_TIMEOUT_MS = 1_500;
/** A few round trips between regions. */
const RPC_RESEND_AFTER_MS = 500;

/**
 * Starts the steer process: its periodic tasks, the administration API, and the RPC methods for peers and other roles.
 *
 * @param cfg - settings of the instance
 * @param log - writes the log lines of the process
 * @returns a function that stops the tasks and closes the server and all connections
 */
export const startSteer = async (cfg: InstanceSettings, log: Log): Promise<() => Promise<void>> => {
    const store = createStore(EMPTY_VIEW, updateView);
    const localRoles = createLocalRoles();
    const headReadTracker = createHeadReadTracker();
    const context: SteerContext = {
        cfg,
        log,
        store,
        platform: createHttpPlatform(cfg.platform.address, cfg.instance.sourceAddress),
        rpc: createRpcClient(RPC_TIMEOUT_MS, {
            sourceAddress: cfg.instance.sourceAddress,
            resendAfterMs: RPC_RESEND_AFTER_MS,
            onResend: (address, reason) => log("info", "rpc-resent", { address, reason }),
        }),
        localRoles,
        getOwnRecord: createOwnRecordProvider(cfg, localRoles, headReadTracker.isPlatformLost),
        headReadTracker,
    };
    const membersVersionCounter = createMembersVersionCounter(store);
    const { app, listen } = createHttpServer(cfg.listen.steer ?? cfg.steer.address);
    registerRpc(app, {
        "view.sync": params =>
            handleViewSync(context, params as ViewSyncRequest, membersVersionCounter.get()),
        "exchange.pull": params => handleExchangePull(context, params as ExchangeRequest),
    });
    registerChangeRoutes(app, context);
    registerQueryRoutes(app, context);
    registerSteerMetrics(app, context);
    await listen();
    const teardowns = [
        registerHeadWatch(context),
        registerMembersReads(context),
        registerBudgetPlan(context),
        registerExchange(context),
        membersVersionCounter.stop,
    ];
    return async () => {
        teardowns.forEach(teardown => teardown());
        await app.close();
        await context.rpc.close();
        await context.platform.close();
    };
};
