import { createRpcClient } from "@gypsumstage/shared/createRpcClient";
import { createUniqueId } from "@gypsumstage/shared/createUniqueId";
import { describeError } from "@gypsumstage/shared/describeError";
import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { startPeriodicTask } from "@gypsumstage/shared/startPeriodicTask";
import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";
import type { QuotaBounds } from "@gypsumstage/steering/traffic/QuotaBounds";
import type { InstanceMetrics } from "../InstanceMetrics.js";
import type { PeerExchange } from "../peers/PeerExchange.js";
import { createInstanceQuota } from "./createInstanceQuota.js";
import { createLeaseClock } from "./createLeaseClock.js";
import type { QuotaHandlers } from "./QuotaHandlers.js";
import type { QuotaInstance } from "./QuotaInstance.js";
import type { UsageCaps } from "./UsageCaps.js";

/** Time-out of a query: a few round trips between regions, as a request may wait for it. */
const QUERY_TIMEOUT_MS = 250;
/** Time between two votes; several fit into their validity. */
const VOTE_INTERVAL_MS = 400;
/** Time between two exchanges with the issuer; several fit into the validity of a share. */
const DIVIDE_INTERVAL_MS = 300;
/** Time between two log lines for the same workspace. */
const LOG_INTERVAL_MS = 1_000;

/** Usage caps of an instance, and its part in keeping those of all. */
interface RunningUsageCaps {
    readonly caps: UsageCaps;
    readonly handlers: QuotaHandlers;
    readonly stop: () => Promise<void>;
}

/**
 * Starts the usage caps of workspaces. They send nothing while none are configured or no bounds are set.
 *
 * @param self - returns this instance as the others see it, and the bounds of its settings
 * @param peers - the reports of the other instances
 * @param view - returns the current fleet view
 * @param metrics - counts granted and exceeded permits
 * @param log - receives workspaces over their cap and failed queries
 * @returns the caps and the handlers of RPC calls of other instances
 */
export const startUsageCaps = (
    self: () => QuotaInstance & { readonly quota?: QuotaBounds; },
    peers: Pick<PeerExchange, "live" | "all" | "isSettled">,
    view: () => FleetView,
    metrics: Pick<InstanceMetrics, "countUsage">,
    log: Log,
): RunningUsageCaps => {
    const rpc = createRpcClient(QUERY_TIMEOUT_MS);
    const now = createLeaseClock();
    const exceeded = new Map<string, { readonly loggedAtMs: number; readonly count: number; }>();
    const logExceeded = (workspace: string): void => {
        const { loggedAtMs, count } = exceeded.get(workspace) ?? { loggedAtMs: -Infinity, count: 0 };
        const nowMs = now();
        const isDue = nowMs - loggedAtMs >= LOG_INTERVAL_MS;
        if (isDue) {
            log("info", "quota-exceeded", { workspace, refused: count + 1 });
        }
        exceeded.set(workspace, isDue ? { loggedAtMs: nowMs, count: 0 } : { loggedAtMs, count: count + 1 });
    };
    const quota = createInstanceQuota({
        self,
        runId: createUniqueId(),
        live: () => peers.live().map(peer => peer.report),
        isSettled: peers.isSettled,
        recorded: () => peers.all().map(peer => peer.report.name),
        policy: () => view().policy,
        bounds: () => self().quota,
        call: (instance, method, query) => rpc.call(instance.internalAddress, method, query),
        now,
        monotonic: monotonicNow,
        random: Math.random,
        onDecision: (workspace, result) => {
            metrics.countUsage(result);
            if (result === "exceeded") {
                logExceeded(workspace);
            }
        },
        log,
    });
    const onFailure = (err: unknown): void =>
        log("error", "quota-task-failed", { reason: describeError(err) });
    const stops = [
        startPeriodicTask(quota.vote, () => VOTE_INTERVAL_MS, onFailure),
        startPeriodicTask(quota.divide, () => DIVIDE_INTERVAL_MS, onFailure),
    ];
    return {
        caps: quota.caps,
        handlers: quota.handlers,
        stop: async () => {
            stops.forEach(stop => stop());
            await rpc.close();
        },
    };
};
