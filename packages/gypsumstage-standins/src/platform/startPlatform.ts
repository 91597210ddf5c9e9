import type { Member } from "@gypsumstage/domain/Member";
import { sleep } from "@gypsumstage/shared/sleep";
import Fastify, { type FastifyReply } from "fastify";
import { EventEmitter, once } from "node:events";
import type { PlatformFaults } from "./PlatformFaults.js";
import type { PlatformStandin } from "./PlatformStandin.js";
import type { StoredObject } from "./StoredObject.js";

const HEALTHY: PlatformFaults = { isDown: false, delayMs: 0, losesAnswers: false, listLagMs: 0 };
const MAX_BODY_BYTES = 1_048_576;

interface ListedMembers {
    readonly sinceMs: number;
    readonly members: readonly Member[];
}

/**
 * Starts a stand-in of the platform: versioned objects with conditional updates and watches, and the lagging list.
 *
 * @param host - IP address
 * @param port - port
 * @returns the running stand-in
 */
export const startPlatform = async (host: string, port: number): Promise<PlatformStandin> => {
    let faults = HEALTHY;
    let version = 0;
    let objects: ReadonlyMap<string, StoredObject> = new Map();
    let lists: readonly ListedMembers[] = [{ sinceMs: 0, members: [] }];
    const counts: Record<string, number> = {};
    const changes = new EventEmitter({ captureRejections: false });
    changes.setMaxListeners(0);
    const app = Fastify({ bodyLimit: MAX_BODY_BYTES, forceCloseConnections: true });
    const count = (kind: string): void => {
        counts[kind] = (counts[kind] ?? 0) + 1;
    };
    const cut = (reply: FastifyReply): FastifyReply => {
        reply.hijack();
        reply.raw.destroy();
        return reply;
    };
    const visibleMembers = (): readonly Member[] => {
        const visible = lists.filter(list => list.sinceMs + faults.listLagMs <= Date.now());
        return (visible.at(-1) ?? lists[0])?.members ?? [];
    };
    let waiting = 0;
    const waitForChange = async (key: string, waitMs: number): Promise<void> => {
        waiting += 1;
        await once(changes, key, { signal: AbortSignal.timeout(waitMs) }).catch(() => undefined);
        waiting -= 1;
    };
    app.addHook("onRequest", async (_req, reply) => {
        if (faults.delayMs > 0) {
            await sleep(faults.delayMs);
        }
        if (faults.isDown) {
            cut(reply);
        }
    });
    app.get("/objects/:key", async (req, reply) => {
        const { key } = req.params as { readonly key: string; };
        const { after, wait } = req.query as { readonly after?: string; readonly wait?: string; };
        count(after === undefined ? "reads" : "watches");
        if (after !== undefined && (objects.get(key)?.version ?? 0) === Number(after)) {
            await waitForChange(key, Number(wait ?? 0));
        }
        if (faults.isDown) {
            return cut(reply);
        }
        const stored = objects.get(key);
        if (stored === undefined) {
            return reply.code(after === undefined ? 404 : 304).send();
        }
        return after !== undefined && stored.version === Number(after)
            ? reply.code(304).send()
            : reply.send({ key, ...stored });
    });
    app.get("/objects", async (req, reply) => {
        const { prefix = "" } = req.query as { readonly prefix?: string; };
        count("reads");
        return reply.send(
            [...objects].filter(([key]) => key.startsWith(prefix)).map(([key, stored]) => ({
                key,
                ...stored,
            })),
        );
    });
    const isAllowed = (key: string, headers: Readonly<Record<string, unknown>>): boolean => {
        const stored = objects.get(key);
        if (headers["if-none-match"] === "*") {
            return stored === undefined;
        }
        return headers["if-match"] === `"${stored?.version ?? ""}"`;
    };
    app.put("/objects/:key", async (req, reply) => {
        const { key } = req.params as { readonly key: string; };
        count("writes");
        if (!isAllowed(key, req.headers)) {
            return reply.code(412).send({});
        }
        version += 1;
        objects = new Map(objects).set(key, { version, value: req.body });
        changes.emit(key);
        return faults.losesAnswers ? cut(reply) : reply.send({ version });
    });
    app.delete("/objects/:key", async (req, reply) => {
        const { key } = req.params as { readonly key: string; };
        count("writes");
        if (!isAllowed(key, req.headers)) {
            return reply.code(412).send({});
        }
        const next = new Map(objects);
        next.delete(key);
        objects = next;
        return reply.send({ version });
    });
    app.get("/members", async (_req, reply) => {
        count("lists");
        return reply.send(visibleMembers());
    });
    await app.listen({ host, port });
    return {
        address: `${host}:${port}`,
        setFaults: next => {
            faults = { ...faults, ...next };
            [...objects.keys()].forEach(key => changes.emit(key));
        },
        setMembers: members => {
            lists = [...lists.slice(-100), { sinceMs: Date.now(), members }];
        },
        members: () => lists.at(-1)?.members ?? [],
        save: () => objects,
        restore: saved => {
            objects = saved;
            [...saved.keys()].forEach(key => changes.emit(key));
        },
        counts: () => ({ ...counts }),
        watchesWaiting: () => waiting,
        stop: () => app.close(),
    };
};
