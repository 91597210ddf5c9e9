import { parseAddress } from "@gypsumstage/shared/parseAddress";
import { NOT_RUN_STATUSES } from "@gypsumstage/steering/traffic/NOT_RUN_STATUSES";
import { openConnection } from "./openConnection.js";
import type { ResponseMemory } from "./ResponseMemory.js";
import { sendRequest } from "./sendRequest.js";
import type { UpstreamAttempt } from "./UpstreamAttempt.js";
import type { UpstreamConnection } from "./UpstreamConnection.js";
import type { UpstreamConnector } from "./UpstreamConnector.js";
import type { UpstreamPool } from "./UpstreamPool.js";

/** The attempt at an address to which no connection can be opened. */
const NOT_SENT: UpstreamAttempt = {
    outcome: Promise.resolve({ kind: "not-sent", reason: "address-malformed", isPortClosed: false }),
    abort: () => undefined,
};

/**
 * Creates a pool of connections to endpoints. The most recently used connection is reused first, so that the
 * others reach their idle timeout and close. A connection is reused only after a complete response that was no refusal.
 *
 * @param connector - opens the connections
 * @param memory - memory that the responses being received share
 * @returns the pool, empty
 */
export const createUpstreamPool = (connector: UpstreamConnector, memory: ResponseMemory): UpstreamPool => {
    const idle = new Map<string, readonly UpstreamConnection[]>();
    const setIdle = (address: string, connections: readonly UpstreamConnection[]): void => {
        if (connections.length === 0) {
            idle.delete(address);
        }
        else {
            idle.set(address, connections);
        }
    };
    const destroy = (connection: UpstreamConnection): void => void connection.client.destroy();
    const connect = (address: string): UpstreamConnection | undefined => {
        const parsed = parseAddress(address);
        if (parsed === undefined) {
            return undefined;
        }
        const connection = openConnection(parsed, connector);
        connection.client.on("disconnect", () => {
            setIdle(address, idle.get(address)?.filter(each => each !== connection) ?? []);
            destroy(connection);
        });
        return connection;
    };
    const release = (address: string, connection: UpstreamConnection): void => {
        if (!connection.client.destroyed && connection.isOpen()) {
            setIdle(address, [...idle.get(address) ?? [], connection]);
        }
    };
    const acquire = (address: string): UpstreamConnection | undefined => {
        const connections = idle.get(address) ?? [];
        setIdle(address, connections.slice(0, -1));
        return connections.at(-1) ?? connect(address);
    };
    return {
        send: (address, req) => {
            const connection = acquire(address);
            if (connection === undefined) {
                return NOT_SENT;
            }
            const attempt = sendRequest(connection, req, memory);
            void attempt.outcome.then(outcome => {
                // A faulty endpoint may write a refusal again, which would be taken for the response to the next request.
                if (outcome.kind === "answered" && !NOT_RUN_STATUSES.includes(outcome.status)) {
                    release(address, connection);
                }
                else {
                    destroy(connection);
                }
            });
            return attempt;
        },
        close: async () => {
            const connections = [...idle.values()].flat();
            idle.clear();
            await Promise.all(connections.map(connection => connection.client.destroy()));
        },
    };
};
