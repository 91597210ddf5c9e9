import type { Member } from "@gypsumstage/domain/Member";
import { sleep } from "@gypsumstage/shared/sleep";
import Fastify, { type FastifyReply } from "fastify";
import { EventEmitter, once } from "node:events";
import type { PlatformFaults } from "./PlatformFaults.js";
import type { PlatformStandin } from "./PlatformStandin.js";
import type { StoredObject } from "./StoredObject.js";

const NO_FAULTS: PlatformFaults = { isDown: false, delayMs: 0, isResponseLost: false, listLagMs: 0 };
const MAX_BODY_BYTES = 1_048_576;

interface MemberList {
    readonly changedAtMs: number;
    readonly members: readonly Member[];
}

/**
 * Starts a stand-in for the platform: versioned objects with conditional updates and watches, and a list of members
 * whose changes become visible with a lag.
 *
 * @param host - IP address to listen on
 * @param port - port to listen on
 * @returns the running stand-in
 */
export const startPlatform = async (host: string, port: number): Promise<PlatformStandin> => {
    let faults = NO_FAULTS;
    let version = 0;
    let objects: ReadonlyMap<string, StoredObject> = new Map();
    let memberLists: readonly MemberList[] = [{ changedAtMs: 0, members: [] }];
    const counts: Record<string, number> = {};
    const changes = new EventEmitter({ captureRejections: false });
    changes.setMaxListeners(0);
    const app = Fastify({ bodyLimit: MAX_BODY_BYTES, forceCloseConnections: true });
    const countCall = (kind: string): void => {
        counts[kind] = (counts[kind] ?? 0) + 1;
    };
    const closeWithoutResponse = (reply: FastifyReply): FastifyReply => {
        reply.hijack();
        reply.raw.destroy();
        return reply;
    };
    const listVisibleMembers = (): readonly Member[] => {
        const visible = memberLists.filter(list => list.changedAtMs + faults.listLagMs <= Date.now());
        return (visible.at(-1) ?? memberLists[0])?.members ?? [];
    };
    let pendingWatches = 0;
    const waitForChange = async (key: string, waitMs: number): Promise<void> => {
        pendingWatches += 1;
        await once(changes, key, { signal: AbortSignal.timeout(waitMs) }).catch(() => undefined);
        pendingWatches -= 1;
    };
    app.addHook("onRequest", async (_req, reply) => {
        if (faults.delayMs > 0) {
            await sleep(faults.delayMs);
        }
        if (faults.isDown) {
            closeWithoutResponse(reply);
        }
    });
    app.get("/objects/:key", async (req, reply) => {
        const { key } = req.params as { readonly key: string; };
        const { after, wait } = req.query as { readonly after?: string; readonly wait?: string; };
        countCall(after === undefined ? "reads" : "watches");
        if (after !== undefined && (objects.get(key)?.version ?? 0) === Number(after)) {
            await waitForChange(key, Number(wait ?? 0));
        }
        if (faults.isDown) {
            return closeWithoutResponse(reply);
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
        countCall("reads");
        return reply.send(
            [...objects].filter(([key]) => key.startsWith(prefix)).map(([key, stored]) => ({
                key,
                ...stored,
            })),
        );
    });
    const isPreconditionMet = (key: string, headers: Readonly<Record<string, unknown>>): boolean => {
        const stored = objects.get(key);
        if (headers["if-none-match"] === "*") {
            return stored === undefined;
        }
        return headers["if-match"] === `"${stored?.version ?? ""}"`;
    };
    app.put("/objects/:key", async (req, reply) => {
        const { key } = req.params as { readonly key: string; };
        countCall("writes");
        if (!isPreconditionMet(key, req.headers)) {
            return reply.code(412).send({});
        }
        version += 1;
        objects = new Map(objects).set(key, { version, value: req.body });
        changes.emit(key);
        return faults.isResponseLost ? closeWithoutResponse(reply) : reply.send({ version });
    });
    app.delete("/objects/:key", async (req, reply) => {
        const { key } = req.params as { readonly key: string; };
        countCall("writes");
        if (!isPreconditionMet(key, req.headers)) {
            return reply.code(412).send({});
        }
        const next = new Map(objects);
        next.delete(key);
        objects = next;
        return reply.send({ version });
    });
    app.get("/members", async (_req, reply) => {
        countCall("lists");
        return reply.send(listVisibleMembers());
    });
    await app.listen({ host, port });
    return {
        address: `${host}:${port}`,
        setFaults: next => {
            faults = { ...faults, ...next };
            [...objects.keys()].forEach(key => changes.emit(key));
        },
        setMembers: members => {
            memberLists = [...memberLists.slice(-100), { changedAtMs: Date.now(), members }];
        },
        members: () => memberLists.at(-1)?.members ?? [],
        save: () => objects,
        restore: saved => {
            objects = saved;
            [...saved.keys()].forEach(key => changes.emit(key));
        },
        getCallCounts: () => ({ ...counts }),
        countPendingWatches: () => pendingWatches,
        stop: () => app.close(),
    };
};
