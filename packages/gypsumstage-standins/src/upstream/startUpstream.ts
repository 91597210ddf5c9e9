import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { sleep } from "@gypsumstage/shared/sleep";
import { createServer, type IncomingMessage, type ServerResponse } from "node:http";
import type { UpstreamBehaviour } from "./UpstreamBehaviour.js";
import type { UpstreamRecord } from "./UpstreamRecord.js";
import type { UpstreamStandin } from "./UpstreamStandin.js";

const DEFAULT_BEHAVIOUR: UpstreamBehaviour = {
    slots: 5,
    shortMs: 5,
    longMs: 200,
    slowFactor: 1,
    truncatedFraction: 0,
    lostFraction: 0,
    isFailing: false,
    isDraining: false,
    paddingBytes: 0,
};

const countBodyBytes = async (req: IncomingMessage): Promise<number> => {
    let bytes = 0;
    for await (const chunk of req) {
        bytes += (chunk as Buffer).length;
    }
    return bytes;
};

/**
 * Starts a stand-in endpoint. It refuses requests while all of its slots are in use or it is draining, frees the slot
 * of a request when its response has been sent or its connection closes, and records each executed request under its
 * `idempotency-key` or `request-id`. A request whose connection closes before its body is complete is not executed.
 * `/load` returns the number of requests in flight.
 *
 * @param name - name of the endpoint
 * @param host - IP address to listen on
 * @param port - port to listen on
 * @param behaviour - properties that differ from the default behaviour
 * @returns the running stand-in
 */
export const startUpstream = async (
    name: string,
    host: string,
    port: number,
    behaviour: Partial<UpstreamBehaviour> = {},
): Promise<UpstreamStandin> => {
    let current: UpstreamBehaviour = { ...DEFAULT_BEHAVIOUR, ...behaviour };
    let record: UpstreamRecord = {
        started: 0,
        refused: 0,
        inFlight: 0,
        maxInFlight: 0,
        lastStartedAtMs: 0,
        executions: new Map(),
    };
    const executions = new Map<string, number>();
    const refuse = (res: ServerResponse, reason: string): void => {
        record = { ...record, refused: record.refused + 1 };
        res.writeHead(503, { "gypsumstage-refused": reason, "content-length": "0" }).end();
    };
    const recordStart = (): void => {
        const inFlight = record.inFlight + 1;
        record = {
            ...record,
            started: record.started + 1,
            inFlight,
            maxInFlight: Math.max(record.maxInFlight, inFlight),
            lastStartedAtMs: monotonicNow(),
        };
    };
    const respond = (req: IncomingMessage, res: ServerResponse, id: string, bytes: number): void => {
        if (Math.random() < current.lostFraction) {
            res.destroy();
            return;
        }
        const text = JSON.stringify({ endpoint: name, id, path: req.url, bytes })
            + "x".repeat(current.paddingBytes);
        const draining = current.isDraining ? { "gypsumstage-draining": "yes" } : {};
        res.writeHead(200, {
            "content-type": "application/json",
            "content-length": String(text.length),
            "answer-for": id,
            ...draining,
        });
        if (Math.random() < current.truncatedFraction) {
            res.write(text.slice(0, text.length / 2), () => res.destroy());
            return;
        }
        res.end(text);
    };
    const execute = async (req: IncomingMessage, res: ServerResponse, id: string): Promise<void> => {
        const isLong = req.headers["content-length"] !== undefined
            && Number(req.headers["content-length"]) > 65_536;
        const bytes = await countBodyBytes(req);
        executions.set(id, (executions.get(id) ?? 0) + 1);
        await sleep((isLong ? current.longMs : current.shortMs) * current.slowFactor);
        if (!res.destroyed) {
            respond(req, res, id, bytes);
        }
    };
    const server = createServer((req, res) => {
        if (req.url === "/load") {
            res.end(JSON.stringify({ inFlight: record.inFlight }));
            return;
        }
        const id = String(req.headers["idempotency-key"] ?? req.headers["request-id"] ?? "");
        if (current.isDraining) {
            refuse(res, "draining");
            return;
        }
        if (record.inFlight >= current.slots) {
            refuse(res, "overload");
            return;
        }
        recordStart();
        let isEnded = false;
        const recordEnd = (): void => {
            if (!isEnded) {
                isEnded = true;
                record = { ...record, inFlight: record.inFlight - 1 };
            }
        };
        res.on("close", recordEnd);
        if (current.isFailing) {
            res.destroy();
            return;
        }
        execute(req, res, id).catch(() => res.destroy());
    });
    server.keepAliveTimeout = 30_000;
    await new Promise<void>(resolve => server.listen(port, host, resolve));
    return {
        name,
        address: `${host}:${port}`,
        setBehaviour: next => {
            current = { ...current, ...next };
        },
        record: () => ({ ...record, executions: new Map(executions) }),
        stop: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                server.closeAllConnections();
            }),
    };
};
