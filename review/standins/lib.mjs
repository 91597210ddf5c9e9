/** Stand-ins that the scripts of the review share: the store, endpoints, and the start of instances. */
import { spawn } from "node:child_process";
import { randomBytes, randomInt } from "node:crypto";
import { appendFileSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request } from "node:http";
import { createConnection, createServer as createTcpServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

const REPOSITORY = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
/** All processes that this script has started; none of them outlives it, however it ends. */
const children = new Set();
process.once("exit", () => children.forEach(child => child.kill("SIGKILL")));
const PROGRAM = ["--max-old-space-size=160", "--max-semi-space-size=4", "target/gypsumstage.cjs"];

export const ZONES = {
    "kutch-mundra": "kutch",
    "kutch-kandla": "kutch",
    "bharuch-dahej": "bharuch",
    "bharuch-hansot": "bharuch",
    "bhavnagar-ghogha": "bhavnagar",
    "bhavnagar-alang": "bhavnagar",
};

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));
export const newId = () => randomBytes(8).toString("hex");

/** Returns loopback addresses that no other process of this machine is likely to use. */
export const pickHosts = count => {
    const net = `127.${randomInt(10, 250)}.${randomInt(1, 250)}`;
    return Array.from({ length: count }, (_, index) => `${net}.${index + 1}`);
};

/** Returns a free port of the address. */
export const findFreePort = host =>
    new Promise((resolve, reject) => {
        const server = createTcpServer();
        server.once("error", reject);
        server.listen(0, host, () => {
            const { port } = server.address();
            server.close(() => resolve(port));
        });
    });

/** Returns the first of two free ports below those that the system gives to outgoing connections. */
const findInternalPort = async host => {
    for (;;) {
        const port = randomInt(10_000, 30_000);
        const servers = await Promise.all([port, port + 1].map(each =>
            new Promise(resolve => {
                const server = createTcpServer();
                server.once("error", () => resolve(undefined));
                server.listen(each, host, () => resolve(server));
            })
        ));
        servers.forEach(server => server?.close());
        if (servers.every(server => server !== undefined)) {
            return port;
        }
    }
};

/** Creates the record of a run: lines with the time since its start, in `record.txt` of the case's folder. */
export const createRecord = folder => {
    const file = join(folder, "record.txt");
    const startedAtMs = performance.now();
    writeFileSync(file, "");
    return (event, facts = {}) =>
        appendFileSync(
            file,
            `${((performance.now() - startedAtMs) / 1000).toFixed(3)} ${event} ${JSON.stringify(facts)}\n`,
        );
};

const readBody = async req => {
    const chunks = [];
    for await (const chunk of req) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
};

/** Starts the platform's store. It serves lists and watches; the stand-ins write to it by calls of `put` and `remove`. */
export const startStore = async host => {
    const objects = new Map();
    const events = [];
    const watches = new Set();
    let revision = 1;
    const respond = (res, status, body) => {
        const text = Buffer.from(JSON.stringify(body));
        res.writeHead(status, { "content-type": "application/json", "content-length": text.length, "store-era": "1" });
        res.end(text);
    };
    const server = createServer((req, res) => {
        const url = new URL(req.url, "http://store");
        const kind = url.pathname.split("/")[3];
        const since = url.searchParams.get("watch");
        if (since === null) {
            const after = url.searchParams.get("after") ?? "";
            const items = [...objects.values()]
                .filter(each => each.kind === kind && each.object.metadata.name > after)
                .map(each => each.object)
                .sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1);
            respond(res, 200, { items: items.slice(0, 500), hasMore: items.length > 500, storeRevision: revision });
            return;
        }
        const finish = () => {
            watches.delete(check);
            clearTimeout(timer);
            const news = events.filter(each => each.kind === kind && each.revision > Number(since));
            respond(res, 200, {
                events: news.map(({ object, removed }) => ({ object, removed })),
                storeRevision: revision,
            });
        };
        const check = () => {
            if (events.some(each => each.kind === kind && each.revision > Number(since))) {
                finish();
            }
        };
        const timer = setTimeout(finish, Number(url.searchParams.get("waitMs") ?? 0));
        watches.add(check);
        res.once("close", () => {
            watches.delete(check);
            clearTimeout(timer);
        });
        check();
    });
    const change = (kind, name, spec, removed) => {
        revision += 1;
        const object = { metadata: { name, rev: revision, created: 1, finalizers: [], deleting: false }, spec, status: null };
        if (removed) {
            objects.delete(`${kind}/${name}`);
        }
        else {
            objects.set(`${kind}/${name}`, { kind, object });
        }
        events.push({ kind, revision, object, removed });
        [...watches].forEach(check => check());
    };
    await new Promise(resolve => server.listen(0, host, resolve));
    return {
        address: `${host}:${server.address().port}`,
        put: (kind, name, spec) => change(kind, name, spec, false),
        remove: (kind, name) => change(kind, name, {}, true),
        stop: () => {
            server.close();
            server.closeAllConnections();
        },
    };
};

/**
 * Starts an endpoint. It answers health checks and requests that expect another instance; `run(req, res, body)` runs the
 * others and answers them.
 */
export const startEndpoint = async ({ host, id, service, zone, slots = 6, run }) => {
    const executed = [];
    const server = createServer({ keepAliveTimeout: 10_000, maxHeaderSize: 65_536 }, async (req, res) => {
        res.on("error", () => undefined);
        if (req.url === "/health") {
            res.writeHead(200, { "instance-id": id, "content-length": 0 }).end();
            return;
        }
        const attemptId = req.headers["attempt-id"];
        if (req.headers["expect-instance"] !== undefined && req.headers["expect-instance"] !== id) {
            res.writeHead(421, { "instance-id": id, "attempt-id": attemptId, "content-length": 0 }).end();
            return;
        }
        const body = await readBody(req).catch(() => undefined);
        if (body === undefined) {
            return;
        }
        executed.push({ attemptId, method: req.method, path: req.url, atMs: performance.now() });
        await run(req, res, body, { attemptId, id });
    });
    await new Promise(resolve => server.listen(0, host, resolve));
    const address = `${host}:${server.address().port}`;
    return {
        id,
        address,
        executed,
        registration: {
            service,
            address,
            zone,
            version: "v1",
            slots,
            state: "ready",
            coldRemaining: "0ms",
            seq: 1,
            born: Date.now() - 60_000,
        },
        stop: () => {
            server.close();
            server.closeAllConnections();
        },
    };
};

const createSettings = ({ name, host, zone, ports, seeds, storeAddress }) => `
node = "${name}"
role = "instance"
machineClass = "front"
serves = ["front","control","directory"]
ip = "${host}"
zone = "${zone}"
region = "${ZONES[zone]}"
internalPortRange = [${ports.internal},${ports.internal + 15}]
seeds = [${seeds.map(seed => `"${seed}:${ports.control}"`).join(",")}]
bootstrap = true
lossCounts = false
discovery = "platform"
entrypoint = "directory"
heartbeat = "1500ms"
contracts = ["base","drain","config","cost","retry","recover","places","platform"]
[zones]
${Object.entries(ZONES).map(([each, region]) => `${each} = "${region}"`).join("\n")}
[listen]
front = "${host}:${ports.front}"
ready = "${host}:${ports.ready}"
control = "${host}:${ports.control}"
directory = "${host}:${ports.directory}"
[limits]
cpuShare = 0.54
cpuCores = 1
memoryMb = 350
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 1
[bounds]
seedLag = "3s"
reuseAfter = "2s"
contact = "4000ms"
ackTimeout = "4000ms"
catchUp = "4s"
drainTimeout = "2500ms"
gracePeriod = "6s"
lossSlack = "200ms"
configApply = "2500ms"
rollbackSlack = "250ms"
outer = "6000ms"
retryBudgetRatio = 0.2
budgetWindow = "10s"
budgetSlack = 56
coldMultiplier = 1.5
coldBurst = 5
evacuation = "5000ms"
recovery = "15s"
ttl_max = "5s"
maxRegionShift = 0.15
[platform]
address = "${storeAddress}"
form = "objects"
writesPerS = 400
readsPerS = 2000
history = "20s"
maxValueBytes = 1048576
minTtl = "1000ms"
`;

/** Starts instances, one for each host, by the command of the deploy file, and waits until all are ready. */
export const startInstances = async ({ hosts, zones, storeAddress, record }) => {
    const folder = mkdtempSync(join(tmpdir(), "review-"));
    const [firstHost] = hosts;
    const ports = { internal: await findInternalPort(firstHost) };
    for (const name of ["front", "ready", "control", "directory"]) {
        ports[name] = await findFreePort(firstHost);
    }
    const instances = hosts.map((host, index) => {
        const name = `front-${zones[index]}-${index + 1}`;
        const file = join(folder, `${name}.toml`);
        const seeds = hosts.slice(0, 3);
        writeFileSync(file, createSettings({ name, host, zone: zones[index], ports, seeds, storeAddress }));
        const instance = { name, host, zone: zones[index], ports, file, exit: undefined, logFile: join(folder, `${name}.log`) };
        instance.start = () => {
            const log = openSync(instance.logFile, "a");
            instance.child = spawn(process.execPath, PROGRAM, {
                cwd: REPOSITORY,
                env: { PATH: process.env.PATH, HOME: process.env.HOME, GYPSUMSTAGE_CONFIG: file },
                stdio: ["ignore", log, log],
            });
            const { child } = instance;
            children.add(child);
            instance.exit = new Promise(resolve => {
                child.once("exit", (code, signal) => {
                    children.delete(child);
                    record("instance ended", { name, code, signal });
                    resolve({ code, signal });
                });
            });
        };
        instance.start();
        return instance;
    });
    const untilMs = performance.now() + 20_000;
    for (const instance of instances) {
        while (!(await isReady(instance))) {
            if (performance.now() > untilMs) {
                throw new Error(`${instance.name} is not ready`);
            }
            await sleep(100);
        }
        record("instance ready", { name: instance.name });
    }
    return {
        instances,
        folder,
        stop: async () => {
            for (const { child } of instances) {
                child.kill("SIGCONT");
                child.kill("SIGKILL");
            }
            await Promise.all(instances.map(each => each.exit));
            if (process.env.KEEP_LOGS === undefined) {
                rmSync(folder, { recursive: true, force: true });
            }
            else {
                console.error(folder);
            }
        },
    };
};

/** Returns whether an instance answers the platform's readiness check with 200. */
export const isReady = instance =>
    new Promise(resolve => {
        const req = request(
            { host: instance.host, port: instance.ports.ready, path: "/-/ready", agent: false, timeout: 500 },
            res => {
                res.resume();
                resolve(res.statusCode === 200);
            },
        );
        req.on("error", () => resolve(false));
        req.on("timeout", () => req.destroy());
        req.end();
    });

/** Returns the resident memory of a process in MB; undefined when it has ended. */
export const readRssMb = pid => {
    try {
        const kilobytes = /VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1];
        return kilobytes === undefined ? undefined : Math.round(Number(kilobytes) / 1024);
    }
    catch {
        return undefined;
    }
};

/** Sends a request as a client and resolves to the answer, or to the error when there is none until `waitMs`. */
export const send = ({ instance, method = "GET", hostName, path, headers = {}, body, deadlineMs, waitMs = deadlineMs + 2_000 }) =>
    new Promise(resolve => {
        const attemptId = newId();
        const startedAtMs = performance.now();
        const end = result => {
            clearTimeout(timer);
            resolve({ attemptId, tookMs: Math.round(performance.now() - startedAtMs), ...result });
        };
        const req = request({
            host: instance.host,
            port: instance.ports.front,
            method,
            path,
            agent: false,
            headers: { host: hostName, "attempt-id": attemptId, "deadline-ms": String(deadlineMs), ...headers },
        });
        const timer = setTimeout(() => {
            end({ error: "no answer" });
            req.destroy();
        }, waitMs);
        req.on("response", res => {
            const chunks = [];
            res.on("data", chunk => chunks.push(chunk));
            res.on("end", () =>
                end({ status: res.statusCode, headers: res.headers, body: Buffer.concat(chunks), isComplete: res.complete }));
            res.on("error", err => end({ status: res.statusCode, error: String(err), body: Buffer.concat(chunks) }));
        });
        req.on("error", err => end({ error: String(err) }));
        req.end(body);
    });

export { createConnection };

const seconds = ms => `${ms}ms`;

/** Creates a configuration with one route for each service. */
export const createConfig = (version, routes) => ({
    version,
    resources: [
        ...routes.map(({ name, host, pathPrefix, kind, timeoutMs, service, maxAttempts = 2, allowedRegions = [], targetMs = 600 }) => ({
            resourceType: "routes",
            metadata: { name },
            spec: {
                host,
                pathPrefix,
                kind,
                timeout: seconds(timeoutMs),
                targetLatency: seconds(targetMs),
                priority: 1,
                service,
                maxAttempts,
                sticky: true,
                allowedRegions,
            },
        })),
        ...[...new Set(routes.map(each => each.service))].map(name => ({
            resourceType: "services",
            metadata: { name },
            spec: { healthCheck: "/health", maxConnections: 330, protocol: "h1", tls: false, coldStart: "3s", coldPerS: 6.8 },
        })),
        {
            resourceType: "limits",
            metadata: {},
            spec: { maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeout: "3000ms", idleTimeout: "15000ms" },
        },
    ],
});

/**
 * Downloads an answer at a steady rate, as a client behind a slow link does. Resolves to what was received and to how the
 * connection ended: `fin` for a proper end, `complete` when the stated length was reached, `reset` or `timeout`.
 */
export const download = ({ instance, method = "GET", hostName, path, bytesPerS, deadlineMs, onFirstBytes = () => undefined }) =>
    new Promise(resolve => {
        const attemptId = newId();
        const socket = createConnection(instance.ports.front, instance.host);
        const pieces = [];
        const startedAtMs = performance.now();
        let firstAtMs;
        let received = 0;
        let head;
        const readHead = () => {
            const text = Buffer.concat(pieces).toString("latin1");
            const end = text.indexOf("\r\n\r\n");
            if (end < 0) {
                return;
            }
            const lines = text.slice(0, end).split("\r\n");
            const fields = new Map(lines.slice(1).map(line => {
                const colon = line.indexOf(":");
                return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
            }));
            const stated = fields.get("content-length");
            head = {
                status: Number(lines[0].split(" ")[1]),
                fields,
                bytes: end + 4,
                bodyBytes: stated === undefined ? undefined : Number(stated),
            };
        };
        const finish = end => {
            clearInterval(timer);
            socket.destroy();
            const body = head === undefined ? Buffer.alloc(0) : Buffer.concat(pieces).subarray(head.bytes);
            resolve({
                attemptId,
                end,
                status: head?.status,
                isStamped: head?.fields.has("response-stamp") ?? false,
                statedBytes: head?.bodyBytes,
                body,
                tookMs: Math.round(performance.now() - startedAtMs),
            });
        };
        const read = () => {
            const nowMs = performance.now();
            if (nowMs - startedAtMs > deadlineMs + 1_000) {
                finish("timeout");
                return;
            }
            const allowed = firstAtMs === undefined ? 16_384 : bytesPerS * (nowMs - firstAtMs) / 1_000 + 16_384;
            while (received < allowed && socket.readableLength > 0) {
                const piece = socket.read(Math.min(65_536, socket.readableLength));
                if (firstAtMs === undefined) {
                    firstAtMs = performance.now();
                    onFirstBytes();
                }
                received += piece.length;
                pieces.push(piece);
            }
            if (socket.readableLength === 0) {
                // Lets the socket take in more, or emit its end.
                socket.read(0);
            }
            if (head === undefined && received > 0) {
                readHead();
            }
            if (head?.bodyBytes !== undefined && received >= head.bytes + head.bodyBytes) {
                finish("complete");
            }
        };
        const timer = setInterval(read, 5);
        socket.on("readable", () => undefined);
        socket.on("end", () => {
            read();
            finish("fin");
        });
        socket.on("error", err => finish(`reset ${err.code}`));
        socket.write(
            `${method} ${path} HTTP/1.1\r\nHost: ${hostName}\r\nAttempt-Id: ${attemptId}\r\nDeadline-Ms: ${deadlineMs}\r\n`
                + `${method === "GET" ? "" : "Content-Length: 0\r\n"}\r\n`,
        );
    });

/** Ends the script with the code for its result, also when it could not run. */
export const runCase = async (folder, play) => {
    const record = createRecord(folder);
    const teardowns = [];
    let code = 2;
    const timer = setTimeout(() => {
        record("time is up");
        process.exitCode = 2;
        void end();
    }, 110_000);
    let isEnding = false;
    const end = async () => {
        if (isEnding) {
            return;
        }
        isEnding = true;
        clearTimeout(timer);
        for (const teardown of teardowns.reverse()) {
            try {
                await teardown();
            }
            catch (err) {
                record("teardown failed", { reason: String(err) });
            }
        }
        process.exit(process.exitCode ?? code);
    };
    process.once("SIGTERM", () => void end());
    process.once("SIGINT", () => void end());
    try {
        const broken = await play(record, teardown => teardowns.push(teardown));
        record(broken.length > 0 ? "RULE BROKEN" : "rule held", { broken });
        broken.forEach(line => console.log(line));
        console.log(broken.length > 0 ? "rule broken" : "rule held");
        code = broken.length > 0 ? 1 : 0;
    }
    catch (err) {
        record("could not run", { reason: String(err?.stack ?? err) });
        console.log(String(err?.stack ?? err));
    }
    await end();
};
