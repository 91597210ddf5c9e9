import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { AdmissionRule } from "@gypsumstage/steering/traffic/AdmissionRule";
import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";
import { limitEndpointQueue } from "@gypsumstage/steering/traffic/limitEndpointQueue";
import type { InstanceMetrics } from "../InstanceMetrics.js";
import type { StopSchedule } from "../StopSchedule.js";
import type { Admission } from "./Admission.js";
import type { AdmissionQueue } from "./AdmissionQueue.js";
import { createAdmissionQueue } from "./createAdmissionQueue.js";
import { createRefusalLog } from "./createRefusalLog.js";
import { findCachedAdmissionRules } from "./findCachedAdmissionRules.js";

/** Results of a wait that end it with a refusal by the queue. */
const REFUSALS: ReadonlySet<string> = new Set(["queue-late", "queue-full"]);

/** For requests that still wait when a configuration without admission for their service comes into force. */
const FALLBACK_RULE: AdmissionRule = { mostUrgent: 0 };

/** What admission uses of its instance. */
interface AdmissionParts {
    readonly view: () => Pick<FleetView, "policy">;
    /** Typical time of a request of a service. */
    readonly workMs: (service: string) => number;
    readonly stopSchedule: StopSchedule;
    readonly metrics: Pick<InstanceMetrics, "recordQueueWait">;
    readonly log: Log;
}

/**
 * Creates the admission of an instance: a queue for each service for which the configuration asks for it.
 *
 * @param parts - what admission uses of its instance
 * @returns the admission, with nothing waiting
 */
export const createAdmission = (parts: AdmissionParts): Admission => {
    const queues = new Map<string, AdmissionQueue>();
    const findRule = (service: string): AdmissionRule | undefined => {
        const { policy } = parts.view();
        return policy === undefined ? undefined : findCachedAdmissionRules(policy).get(service);
    };
    const createQueue = (service: string): AdmissionQueue => {
        const logRefusal = createRefusalLog(service, parts.log);
        const queue = createAdmissionQueue({
            rule: () => findRule(service) ?? FALLBACK_RULE,
            workMs: () => parts.workMs(service),
            stopSchedule: parts.stopSchedule,
            onEnd: (result, waitedMs) => {
                parts.metrics.recordQueueWait(service, result, waitedMs);
                if (REFUSALS.has(result)) {
                    logRefusal(result, queue.length());
                }
            },
        });
        queues.set(service, queue);
        return queue;
    };
    return {
        isEnabled: service => findRule(service) !== undefined,
        start: (service, request) => (queues.get(service) ?? createQueue(service)).start(request),
        endpointQueueLimit: (service, request) => {
            const rule = findRule(service);
            return rule === undefined
                ? undefined
                : limitEndpointQueue(rule, request, parts.workMs(service), monotonicNow());
        },
        wake: service => queues.get(service)?.wake(),
        lengths: () => Object.fromEntries([...queues].map(([service, queue]) => [service, queue.length()])),
    };
};
