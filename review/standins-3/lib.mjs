// Stand-ins of the store, the endpoints and the callers, and the start of the built program.
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join, resolve } from "node:path";
import { fileURLToPath } from "node:url";

export const sleep = ms => new Promise(r => setTimeout(r, ms));
export const now = () => performance.now();
const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), "../..");

const readText = async req => {
    const parts = [];
    for await (const part of req) parts.push(part);
    return Buffer.concat(parts).toString();
};

/** The platform's object store. Each instance gets a door of its own: a port on which its connections can be reset. */
export const startStore = async () => {
    const objects = new Map();
    const changes = [];
    const waiting = new Set();
    let revision = 1;
    const handle = async (req, res) => {
        const url = new URL(req.url, "http://store");
        const path = url.pathname.replace("/-/objects/", "");
        const [kind, name] = path.split("/");
        const body = req.method === "GET" ? undefined : await readText(req);
        const respond = (status, value) => {
            const text = Buffer.from(JSON.stringify(value));
            if (res.destroyed) return;
            res.writeHead(status, { "content-type": "application/json", "content-length": text.length, "store-era": "1" });
            res.end(text);
        };
        const key = `${kind}/${name}`;
        if (req.method === "POST" || req.method === "PUT") {
            const sent = JSON.parse(body);
            const target = `${kind}/${name ?? sent.metadata.name}`;
            const present = objects.get(target);
            if (req.method === "POST" ? present !== undefined : present?.metadata.rev !== sent.metadata.rev) {
                respond(409, present ?? {});
                return;
            }
            put(kind, name ?? sent.metadata.name, sent.spec);
            respond(req.method === "POST" ? 201 : 200, objects.get(target));
            return;
        }
        if (name !== undefined) {
            const object = objects.get(key);
            respond(object === undefined ? 404 : 200, object ?? {});
            return;
        }
        if (url.searchParams.has("watch")) {
            const since = Number(url.searchParams.get("watch"));
            const tell = () => {
                const events = changes.filter(c => c.kind === kind && c.rev > since)
                    .map(c => ({ object: c.object, removed: c.removed }));
                if (events.length === 0) return false;
                respond(200, { events, storeRevision: revision });
                return true;
            };
            if (tell()) return;
            const watcher = { kind, tell, timer: undefined };
            watcher.timer = setTimeout(() => {
                waiting.delete(watcher);
                respond(200, { events: [], storeRevision: revision });
            }, Number(url.searchParams.get("waitMs") ?? 0));
            waiting.add(watcher);
            res.on("close", () => {
                clearTimeout(watcher.timer);
                waiting.delete(watcher);
            });
            return;
        }
        const after = `${kind}/${url.searchParams.get("after") ?? ""}`;
        const names = [...objects.keys()].filter(k => k.startsWith(`${kind}/`) && k > after).sort();
        respond(200, { items: names.map(k => objects.get(k)), hasMore: false, storeRevision: revision });
    };
    const notify = kind => {
        for (const watcher of [...waiting]) {
            if (watcher.kind === kind && watcher.tell()) {
                clearTimeout(watcher.timer);
                waiting.delete(watcher);
            }
        }
    };
    const put = (kind, name, spec) => {
        // As the page says, a PUT that changes nothing does not increase the revision.
        if (JSON.stringify(objects.get(`${kind}/${name}`)?.spec) === JSON.stringify(spec)) return revision;
        revision += 1;
        const object = { metadata: { name, rev: revision, created: 1, finalizers: [], deleting: false }, spec, status: {} };
        objects.set(`${kind}/${name}`, object);
        changes.push({ kind, rev: revision, object, removed: false });
        notify(kind);
        return revision;
    };
    const remove = (kind, name) => {
        revision += 1;
        const object = objects.get(`${kind}/${name}`);
        objects.delete(`${kind}/${name}`);
        changes.push({ kind, rev: revision, object, removed: true });
        notify(kind);
        return revision;
    };
    const servers = [];
    const openDoor = async () => {
        const watches = new Set();
        const server = http.createServer({ keepAliveTimeout: 60_000 }, (req, res) => {
            if (req.url.includes("watch=")) {
                watches.add(res);
                res.on("close", () => watches.delete(res));
            }
            void handle(req, res);
        });
        await new Promise(r => server.listen(0, "127.0.0.1", r));
        servers.push(server);
        return {
            address: `127.0.0.1:${server.address().port}`,
            watching: () => watches.size,
            /** Resets the connections on which a watch of this kind waits, and no others. */
            resetWatchesOf: kind =>
                watches.forEach(res => res.req.url.includes(`/${kind}?`) && res.socket?.resetAndDestroy()),
        };
    };
    return { put, remove, openDoor, revision: () => revision, stop: () => servers.forEach(s => { s.closeAllConnections(); s.close(); }) };
};

/** A server: runs each request for `workMs`; while it leaves, it says so in each answer. */
export const startEndpoint = async (id, { workMs = 50 } = {}) => {
    const arrivals = [];
    let leaving = false;
    let hasExited = false;
    const server = http.createServer({ keepAliveTimeout: 10_000 }, async (req, res) => {
        if (leaving) {
            res.setHeader("connection", "close");
            res.setHeader("server-leaving", "1");
        }
        if (req.url === "/health") {
            res.writeHead(leaving ? 503 : 200, { "instance-id": id, "cold-ms": "0" }).end();
            return;
        }
        if (req.headers["expect-instance"] !== undefined && req.headers["expect-instance"] !== id) {
            res.writeHead(421, { "instance-id": id, "not-executed": "1", "attempt-id": req.headers["attempt-id"] }).end();
            return;
        }
        const run = { attempt: req.headers["attempt-id"], method: req.method, path: req.url, atMs: now(), ended: false };
        arrivals.push(run);
        await readText(req).catch(() => "");
        await sleep(workMs);
        run.ended = !hasExited;
        if (!res.destroyed) {
            if (leaving) {
                res.setHeader("connection", "close");
                res.setHeader("server-leaving", "1");
            }
            res.writeHead(200, { "attempt-id": req.headers["attempt-id"], "response-stamp": `stamp-${id}` }).end(`done by ${id}`);
        }
    });
    await new Promise(r => server.listen(0, "127.0.0.1", r));
    const address = `127.0.0.1:${server.address().port}`;
    return {
        id, address, arrivals,
        leave: () => { leaving = true; },
        exit: () => { hasExited = true; server.closeAllConnections(); server.close(); },
    };
};

const freePort = host => new Promise((res, rej) => {
    const s = net.createServer();
    s.on("error", rej);
    s.listen(0, host, () => { const { port } = s.address(); s.close(() => res(port)); });
});

export const folder = mkdtempSync(join(tmpdir(), "review-"));
const children = new Set();

export const startInstance = async ({ name, host, zone, region, zones, seeds, store, bounds = {}, limits = "memoryMb = 350" }) => {
    const [front, ready, directory] = [await freePort(host), await freePort(host), await freePort(host)];
    const path = join(folder, `${name}.toml`);
    const b = { gracePeriod: '"6s"', drainTimeout: '"2500ms"', configApply: '"2500ms"', evacuation: '"5000ms"', contact: '"4000ms"',
        retryBudgetRatio: 0.2, budgetWindow: '"10s"', budgetSlack: 56, coldMultiplier: 1.5, coldBurst: 5, ttl_max: '"5s"', maxRegionShift: 0.15, ...bounds };
    writeFileSync(path, `node = "${name}"
role = "instance"
machineClass = "front"
serves = ["front","control","directory"]
ip = "${host}"
zone = "${zone}"
region = "${region}"
internalPortRange = [7540,7555]
seeds = [${seeds.map(s => `"${s}:8544"`).join(",")}]
discovery = "platform"
contracts = ["base","drain","config","cost","retry","recover","places","platform"]
[zones]
${Object.entries(zones).map(([z, r]) => `${z} = "${r}"`).join("\n")}
[listen]
front = "${host}:${front}"
ready = "${host}:${ready}"
control = "${host}:8544"
directory = "${host}:${directory}"
[limits]
cpuShare = 0.54
${limits}
[bounds]
${Object.entries(b).map(([k, v]) => `${k} = ${v}`).join("\n")}
[platform]
address = "${store}"
`);
    const child = spawn("node", ["--max-old-space-size=160", "--max-semi-space-size=4", "target/gypsumstage.cjs"], {
        cwd: ROOT, env: { PATH: process.env.PATH, HOME: folder, GYPSUMSTAGE_CONFIG: path }, stdio: ["ignore", "pipe", "pipe"],
    });
    children.add(child);
    child.once("exit", () => children.delete(child));
    let log = "";
    child.stdout.on("data", d => log += d);
    child.stderr.on("data", d => log += d);
    const isReady = () => new Promise(r => {
        const req = http.get(`http://${host}:${ready}/-/ready`, res => { res.resume(); r(res.statusCode === 200); });
        req.on("error", () => r(false));
    });
    return { name, host, front: `${host}:${front}`, child, isReady, path, log: () => log, lines: word => log.split("\n").filter(l => l.includes(word)) };
};
export const endAll = () => {
    children.forEach(c => c.kill("SIGKILL"));
    rmSync(folder, { recursive: true, force: true });
};

let count = 0;
/** Sends one request on a connection of its own. */
export const send = (instance, { method = "GET", host, path, deadlineMs = 3000, body, agent }) => new Promise(r => {
    const id = (Date.now().toString(16) + (count++).toString(16)).padStart(16, "0");
    const atMs = now();
    const [h, p] = instance.front.split(":");
    const req = http.request({ host: h, port: p, method, path, agent: agent ?? false, headers: { host, "attempt-id": id, "deadline-ms": deadlineMs, ...(body ? { "content-length": body.length } : {}) } }, res => {
        let text = "";
        res.on("data", d => text += d);
        res.on("end", () => r({ id, atMs, status: res.statusCode, stamp: res.headers["response-stamp"], text, tookMs: now() - atMs }));
        res.on("error", e => r({ id, atMs, error: e.code, tookMs: now() - atMs }));
    });
    req.on("error", e => r({ id, atMs, error: e.code ?? e.message, tookMs: now() - atMs }));
    req.end(body);
});

export const createConfig = (version, routes, services) => ({
    version,
    resources: [
        ...routes.map(({ name, ...spec }) => ({ resourceType: "routes", metadata: { name }, spec: { timeout: "3000ms", targetLatency: "500ms", priority: 1, maxAttempts: 2, sticky: false, allowedRegions: [], ...spec } })),
        ...services.map(name => ({ resourceType: "services", metadata: { name }, spec: { healthCheck: "/health", maxConnections: 330, protocol: "h1", tls: false, coldStart: "3s", coldPerS: 6.8 } })),
        { resourceType: "limits", metadata: {}, spec: { maxHeaderBytes: 16384, maxBodyBytes: 400000, headerTimeout: "3000ms", idleTimeout: "15000ms" } },
    ],
});
export const createServer = (endpoint, service, zone, extra = {}) => ({ service, address: endpoint.address, zone, version: "1", slots: 6, state: "ready", coldRemaining: "0ms", seq: 1, born: 1700000000000, ...extra });
