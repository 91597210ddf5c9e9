import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { chooseReachProbes } from "@gypsumstage/steering/traffic/chooseReachProbes";
import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";
import { isReachCheckDue } from "@gypsumstage/steering/traffic/isReachCheckDue";
import type { ReachEvent } from "@gypsumstage/steering/traffic/ReachEvent";
import type { ServiceReach } from "@gypsumstage/steering/traffic/ServiceReach";
import { updateReach } from "@gypsumstage/steering/traffic/updateReach";
import type { UpstreamConnector } from "../upstream/UpstreamConnector.js";
import { openProbe } from "./openProbe.js";
import type { ReachMonitor } from "./ReachMonitor.js";

/** Time for which a response shows that connections still work. */
const CONTACT_MS = 1_000;
/** Time after the end of a cut within which the endpoints have been checked. */
const RECOVERY_MS = 2_000;
const TICK_MS = 50;
/** Longest wait for a connection of a check; several round trips between regions. */
const PROBE_TIMEOUT_MS = 250;
/** Endpoints that are tried in each round of a check; a round follows only when none before succeeded. */
const PROBES_PER_ROUND: readonly number[] = [1, 4];

/** What the monitor observes, and whom it tells. */
interface ReachMonitorDependencies {
    readonly view: () => FleetView;
    /** Returns whether requests of this instance are in flight at endpoints of a service. */
    readonly isBusy: (service: string) => boolean;
    readonly connector: UpstreamConnector;
    /** Called when this instance is cut off from a service, or reaches it again. */
    readonly onChange: (service: string, isCut: boolean) => void;
    readonly log: Log;
}

/**
 * Starts the monitor of the links to endpoints. While requests are served, their responses show that the links work; else, and
 * after each failed connection, connections are opened to a few endpoints of the service.
 *
 * @param deps - what the monitor observes, and whom it tells
 * @returns the monitor; every service counts as reached at first
 */
export const createReachMonitor = (deps: ReachMonitorDependencies): ReachMonitor => {
    const { view, isBusy, connector, onChange, log } = deps;
    const reachByService = new Map<string, ServiceReach>();
    /** When each service was last found to be cut off. */
    const cutAtMs = new Map<string, number>();
    /** The endpoint of each service that responded last. */
    const lastAnsweredIds = new Map<string, string>();
    const runningChecks = new Map<string, Promise<boolean>>();
    const getReach = (service: string): ServiceReach => {
        const nowMs = monotonicNow();
        const reach = reachByService.get(service)
            ?? { isCut: false, contactAtMs: nowMs, checkedAtMs: nowMs, hasFailed: false };
        reachByService.set(service, reach);
        return reach;
    };
    const dispatch = (service: string, event: ReachEvent): void => {
        const before = getReach(service);
        const after = updateReach(before, event);
        reachByService.set(service, after);
        if (after.isCut) {
            cutAtMs.set(service, monotonicNow());
        }
        if (after.isCut !== before.isCut) {
            log(after.isCut ? "warn" : "info", after.isCut ? "service-cut-off" : "service-reached-again", {
                service,
                sinceContactMs: Math.round(monotonicNow() - before.contactAtMs),
                endpoints: view().endpointsByService.get(service)?.length ?? 0,
            });
            onChange(service, after.isCut);
        }
    };
    const probe = async (service: string): Promise<boolean> => {
        const triedIds = new Set<string>();
        for (const count of PROBES_PER_ROUND) {
            const endpoints = view().endpointsByService.get(service) ?? [];
            const preferredId = lastAnsweredIds.get(service);
            const chosen = chooseReachProbes(endpoints, triedIds, count, Math.random, preferredId);
            const results = await Promise.all(
                chosen.map(({ address }) => openProbe(connector, address, PROBE_TIMEOUT_MS)),
            );
            if (results.includes(true)) {
                return true;
            }
            chosen.forEach(({ id }) => triedIds.add(id));
        }
        return triedIds.size === 0;
    };
    const check = (service: string): Promise<boolean> => {
        const running = runningChecks.get(service);
        if (running !== undefined) {
            return running;
        }
        const started = probe(service).then(isReached => {
            runningChecks.delete(service);
            dispatch(service, { kind: "checked", isReached, nowMs: monotonicNow() });
            return isReached;
        });
        runningChecks.set(service, started);
        return started;
    };
    const checkDue = (): void => {
        const nowMs = monotonicNow();
        for (const service of view().endpointsByService.keys()) {
            if (isReachCheckDue(getReach(service), isBusy(service), nowMs)) {
                void check(service);
            }
        }
    };
    const timer = setInterval(checkDue, TICK_MS);
    return {
        isCut: service => reachByService.get(service)?.isCut ?? false,
        wasCutLately: service => monotonicNow() - (cutAtMs.get(service) ?? -Infinity) < RECOVERY_MS,
        hasContact: service => monotonicNow() - getReach(service).contactAtMs < CONTACT_MS,
        cutServices: () => [...reachByService].filter(([, { isCut }]) => isCut).map(([service]) => service),
        recordOutcome: ({ id, service }, outcome) => {
            if (outcome.kind === "answered") {
                lastAnsweredIds.set(service, id);
                dispatch(service, { kind: "answered", nowMs: monotonicNow() });
            }
            else if (outcome.kind !== "aborted") {
                dispatch(service, { kind: "failed" });
            }
        },
        check,
        stop: () => clearInterval(timer),
    };
};
