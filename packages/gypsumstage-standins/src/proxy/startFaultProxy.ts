import { invariant } from "@gypsumstage/shared/invariant";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { parseAddress } from "@gypsumstage/shared/parseAddress";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { ByteCount } from "./ByteCount.js";
import type { FaultProxy } from "./FaultProxy.js";
import type { ProxyAction } from "./ProxyAction.js";
import type { ProxyRoute } from "./ProxyRoute.js";

const BUCKET_MS = 100;

/**
 * Starts a fault-injecting proxy in front of the given addresses. It forwards bytes without parsing them and counts
 * them by direction. The rule and the delay for a direction choose whether bytes are delayed, dropped, or answered by a
 * reset of the connection.
 *
 * @param routes - addresses to listen on, with their targets
 * @returns the running proxy
 */
export const startFaultProxy = async (routes: readonly ProxyRoute[]): Promise<FaultProxy> => {
    let rule: (fromHost: string, toHost: string) => ProxyAction = () => "pass";
    let getDelayMs: (fromHost: string, toHost: string) => number = () => 0;
    const sockets = new Set<Socket>();
    const bytes = new Map<string, ByteCount>();
    const countBytes = (fromHost: string, toHost: string, size: number): void => {
        const bucket = Math.floor(monotonicNow() / BUCKET_MS);
        const key = `${fromHost}>${toHost}@${bucket}`;
        bytes.set(key, { fromHost, toHost, bucket, bytes: (bytes.get(key)?.bytes ?? 0) + size });
    };
    const forward = (source: Socket, sink: Socket, fromHost: string, toHost: string): void => {
        const runDelayed = (callback: () => void): void => {
            const delayMs = getDelayMs(fromHost, toHost);
            if (delayMs > 0) {
                setTimeout(callback, delayMs);
            }
            else {
                callback();
            }
        };
        source.on("data", chunk => {
            const action = rule(fromHost, toHost);
            if (action === "reset") {
                source.resetAndDestroy();
                sink.resetAndDestroy();
            }
            if (action !== "pass") {
                return;
            }
            countBytes(fromHost, toHost, chunk.length);
            runDelayed(() => {
                if (!sink.destroyed && !sink.write(chunk)) {
                    source.pause();
                    sink.once("drain", () => source.resume());
                }
            });
        });
        source.on("end", () => runDelayed(() => rule(fromHost, toHost) === "pass" && sink.end()));
        source.on("close", hadError =>
            runDelayed(() => {
                if (rule(fromHost, toHost) !== "drop" && hadError) {
                    sink.destroy();
                }
            }));
        source.on("error", () => undefined);
    };
    const track = (socket: Socket): void => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    };
    const listen = async (route: ProxyRoute): Promise<Server> => {
        const listenAddress = parseAddress(route.listenAddress);
        const targetAddress = parseAddress(route.targetAddress);
        invariant(listenAddress, "address-malformed");
        invariant(targetAddress, "address-malformed");
        const server = createServer({ allowHalfOpen: true }, clientSocket => {
            const fromHost = clientSocket.remoteAddress ?? "";
            track(clientSocket);
            if (rule(fromHost, listenAddress.host) === "reset") {
                clientSocket.resetAndDestroy();
                return;
            }
            const targetSocket = connect({
                host: targetAddress.host,
                port: targetAddress.port,
                allowHalfOpen: true,
            });
            track(targetSocket);
            clientSocket.setNoDelay(true);
            targetSocket.setNoDelay(true);
            targetSocket.on("error", () => clientSocket.resetAndDestroy());
            forward(clientSocket, targetSocket, fromHost, listenAddress.host);
            forward(targetSocket, clientSocket, listenAddress.host, fromHost);
        });
        await new Promise<void>(resolve => server.listen(listenAddress.port, listenAddress.host, resolve));
        return server;
    };
    const servers = await Promise.all(routes.map(listen));
    return {
        setRule: next => {
            rule = next;
        },
        setDelay: next => {
            getDelayMs = next;
        },
        byteCounts: () => [...bytes.values()],
        stop: async () => {
            sockets.forEach(socket => socket.destroy());
            await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
        },
    };
};
