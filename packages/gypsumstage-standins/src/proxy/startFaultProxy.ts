import { invariant } from "@gypsumstage/shared/invariant";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { parseAddress } from "@gypsumstage/shared/parseAddress";
import { connect, createServer, type Server, type Socket } from "node:net";
import type { ByteCount } from "./ByteCount.js";
import type { FaultProxy } from "./FaultProxy.js";
import type { PassRule } from "./PassRule.js";
import type { ProxyRoute } from "./ProxyRoute.js";

const BUCKET_MS = 100;

/**
 * Starts a proxy in front of the given addresses. It forwards bytes without reading them, and cuts, drops, delays
 * and counts them by their source and target.
 *
 * @param routes - the addresses
 * @returns the running proxy
 */
export const startFaultProxy = async (routes: readonly ProxyRoute[]): Promise<FaultProxy> => {
    let rule: (fromHost: string, toHost: string) => PassRule = () => "pass";
    let delayOf: (fromHost: string, toHost: string) => number = () => 0;
    const sockets = new Set<Socket>();
    const bytes = new Map<string, ByteCount>();
    const note = (fromHost: string, toHost: string, size: number): void => {
        const bucket = Math.floor(monotonicNow() / BUCKET_MS);
        const key = `${fromHost}>${toHost}@${bucket}`;
        bytes.set(key, { fromHost, toHost, bucket, bytes: (bytes.get(key)?.bytes ?? 0) + size });
    };
    const forward = (source: Socket, sink: Socket, fromHost: string, toHost: string): void => {
        const after = (work: () => void): void => {
            const delayMs = delayOf(fromHost, toHost);
            if (delayMs > 0) {
                setTimeout(work, delayMs);
            }
            else {
                work();
            }
        };
        source.on("data", chunk => {
            const verdict = rule(fromHost, toHost);
            if (verdict === "reset") {
                source.resetAndDestroy();
                sink.resetAndDestroy();
            }
            if (verdict !== "pass") {
                return;
            }
            note(fromHost, toHost, chunk.length);
            after(() => {
                if (!sink.destroyed && !sink.write(chunk)) {
                    source.pause();
                    sink.once("drain", () => source.resume());
                }
            });
        });
        source.on("end", () => after(() => rule(fromHost, toHost) === "pass" && sink.end()));
        source.on("close", hadError =>
            after(() => {
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
        const front = parseAddress(route.front);
        const back = parseAddress(route.back);
        invariant(front, "address-malformed");
        invariant(back, "address-malformed");
        const server = createServer({ allowHalfOpen: true }, near => {
            const fromHost = near.remoteAddress ?? "";
            track(near);
            if (rule(fromHost, front.host) === "reset") {
                near.resetAndDestroy();
                return;
            }
            const far = connect({ host: back.host, port: back.port, allowHalfOpen: true });
            track(far);
            near.setNoDelay(true);
            far.setNoDelay(true);
            far.on("error", () => near.resetAndDestroy());
            forward(near, far, fromHost, front.host);
            forward(far, near, front.host, fromHost);
        });
        await new Promise<void>(resolve => server.listen(front.port, front.host, resolve));
        return server;
    };
    const servers = await Promise.all(routes.map(listen));
    return {
        setRule: next => {
            rule = next;
        },
        setDelay: next => {
            delayOf = next;
        },
        counts: () => [...bytes.values()],
        stop: async () => {
            sockets.forEach(socket => socket.destroy());
            await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
        },
    };
};
