import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { createChangeListeners } from "../notices/createChangeListeners.js";
import type { EndpointTracker } from "./EndpointTracker.js";
import type { LeavingEndpoints } from "./LeavingEndpoints.js";
import type { LeavingNotice } from "./LeavingNotice.js";

const isLeavingNotice = (content: unknown): content is LeavingNotice => {
    const { endpointId, startedAt } = content as Partial<LeavingNotice>;
    return typeof endpointId === "string" && typeof startedAt === "number";
};

/**
 * Creates the record of endpoints that said in a response that they are leaving. No instance that knows of it sends them
 * requests, whatever the store says of them.
 *
 * @param findEndpoint - returns an endpoint by its id; undefined when it is not registered
 * @param tracker - is told of each leaving endpoint
 * @param log - receives each leaving endpoint
 * @returns the record, empty
 */
export const createLeavingEndpoints = (
    findEndpoint: (id: string) => UpstreamEndpoint | undefined,
    tracker: Pick<EndpointTracker, "recordHealthEvent">,
    log: Log,
): LeavingEndpoints => {
    const startedAtById = new Map<string, number>();
    const listeners = createChangeListeners();
    /** Records that an endpoint is leaving and returns whether that is new. */
    const record = ({ id, startedAt }: UpstreamEndpoint, source: "response" | "notice"): boolean => {
        if (startedAtById.get(id) === startedAt) {
            return false;
        }
        startedAtById.set(id, startedAt);
        tracker.recordHealthEvent(id, { kind: "leaving", nowMs: monotonicNow() });
        log("info", "endpoint-leaving", { endpoint: id, source });
        return true;
    };
    return {
        observe: endpoint => {
            if (record(endpoint, "response")) {
                listeners.notify(endpoint.id);
            }
        },
        keepOnly: endpoints => {
            for (const [id, startedAt] of startedAtById) {
                if (endpoints.get(id)?.startedAt !== startedAt) {
                    startedAtById.delete(id);
                }
            }
        },
        topic: {
            name: "leaving-endpoints",
            keys: () => [...startedAtById.keys()],
            read: (id): LeavingNotice | undefined => {
                const startedAt = startedAtById.get(id);
                return startedAt === undefined ? undefined : { endpointId: id, startedAt };
            },
            isPreliminary: () => false,
            merge: content => {
                if (!isLeavingNotice(content)) {
                    log("warn", "notice-malformed", { topic: "leaving-endpoints" });
                    return undefined;
                }
                const endpoint = findEndpoint(content.endpointId);
                const isCurrent = endpoint !== undefined && endpoint.startedAt === content.startedAt;
                return isCurrent && record(endpoint, "notice") ? endpoint.id : undefined;
            },
            registerListener: listeners.register,
        },
    };
};
