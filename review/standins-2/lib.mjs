// Stand-ins of the platform's store, of endpoints and of callers, and the start of the program of the deploy file as separate
// processes. They do what PROTOCOL.md says and nothing more. Plain Node.js modules, without dependencies.
import { spawn } from "node:child_process";
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export const REPOSITORY = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
export const HAS_TROUBLE = process.env.TROUBLE !== "0";
export const EXIT = { held: 0, broken: 1, notRun: 2 };

/** Longest run of a case. */
const MAX_PLAY_MS = 115_000;

const startedAt = performance.now();
/** Milliseconds since the start of the script. */
export const now = () => performance.now() - startedAt;
export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Creates the record of what was sent, answered and run: one line each, with its time in seconds. */
export const createRecord = folder => {
    const file = join(folder, "record.txt");
    writeFileSync(file, "");
    let lines = [];
    const flush = () => {
        if (lines.length > 0) {
            appendFileSync(file, lines.join(""));
            lines = [];
        }
    };
    const timer = setInterval(flush, 500);
    return {
        write: (what, fields = {}) => {
            const text = Object.entries(fields).map(([name, value]) => ` ${name}=${value}`).join("");
            lines.push(`${(now() / 1000).toFixed(3).padStart(9)} ${what}${text}\n`);
        },
        close: () => {
            clearInterval(timer);
            flush();
        },
    };
};

/** A loopback network of this run only: 127.X.Y.N. */
const network = `127.${40 + Math.floor(Math.random() * 160)}.${1 + Math.floor(Math.random() * 250)}`;
export const hostOf = n => `${network}.${n}`;

/** Whether a port is free at an address. */
const isFree = (host, port) => new Promise(resolve => {
    const server = net.createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
});

const findFreePort = host => new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once("error", reject);
    server.listen(0, host, () => {
        const { port } = server.address();
        server.close(() => resolve(port));
    });
});

/** Ports that are free at all of the hosts; the program needs 9464 for its metrics. */
export const choosePorts = async hosts => {
    for (let tries = 0; tries < 50; tries++) {
        const base = 20000 + Math.floor(Math.random() * 10000);
        const all = [base, base + 1, base + 2, base + 3, base + 4, base + 5, 9464];
        const checks = await Promise.all(hosts.flatMap(host => all.map(port => isFree(host, port))));
        if (checks.every(Boolean)) {
            return { front: base, ready: base + 1, control: base + 2, directory: base + 3, internal: base + 4 };
        }
    }
    throw new Error("no free ports");
};

const readBody = req => new Promise((resolve, reject) => {
    const parts = [];
    req.on("data", part => parts.push(part));
    req.on("end", () => resolve(Buffer.concat(parts)));
    req.on("error", reject);
});

/** Starts the platform's store: lists and watches, one revision counter, conditional writes left out. */
export const startStore = async host => {
    const port = await findFreePort(host);
    let revision = 100;
    const kinds = { config: new Map(), servers: new Map(), evacuations: new Map() };
    const events = [];
    const waiting = new Set();
    const state = { isDown: false };
    const put = (kind, name, spec) => {
        revision += 1;
        const old = kinds[kind].get(name);
        const object = {
            metadata: { name, rev: revision, created: old?.metadata.created ?? revision, finalizers: [], deleting: false },
            spec,
            status: {},
        };
        kinds[kind].set(name, object);
        events.push({ kind, rev: revision, event: { object, removed: false } });
        [...waiting].forEach(wake => wake());
        return revision;
    };
    const remove = (kind, name) => {
        const old = kinds[kind].get(name);
        if (old === undefined) {
            return;
        }
        revision += 1;
        kinds[kind].delete(name);
        events.push({ kind, rev: revision, event: { object: { ...old, metadata: { ...old.metadata, rev: revision } }, removed: true } });
        [...waiting].forEach(wake => wake());
    };
    const send = (res, status, body) => {
        const text = Buffer.from(JSON.stringify(body));
        res.writeHead(status, { "content-type": "application/json", "content-length": text.length });
        res.end(text);
    };
    const server = http.createServer((req, res) => {
        if (state.isDown) {
            send(res, 503, {});
            return;
        }
        const url = new URL(req.url, "http://store");
        const kind = url.pathname.replace("/-/objects/", "");
        if (kinds[kind] === undefined || req.method !== "GET") {
            send(res, 404, {});
            return;
        }
        const since = url.searchParams.get("watch");
        if (since === null) {
            const after = url.searchParams.get("after") ?? "";
            const items = [...kinds[kind].values()].filter(each => each.metadata.name > after)
                .sort((a, b) => a.metadata.name < b.metadata.name ? -1 : 1);
            send(res, 200, { items: items.slice(0, 500), hasMore: items.length > 500, storeRevision: revision });
            return;
        }
        const find = () => events.filter(each => each.kind === kind && each.rev > Number(since)).map(each => each.event);
        const answer = () => {
            clearTimeout(timer);
            waiting.delete(wake);
            send(res, 200, { events: find(), storeRevision: revision });
        };
        const wake = () => find().length > 0 && answer();
        const timer = setTimeout(answer, Number(url.searchParams.get("waitMs") ?? 0));
        waiting.add(wake);
        res.once("close", () => {
            clearTimeout(timer);
            waiting.delete(wake);
        });
        wake();
    });
    server.keepAliveTimeout = 60_000;
    await new Promise(resolve => server.listen(port, host, resolve));
    return { address: `${host}:${port}`, put, remove, state, stop: () => server.closeAllConnections() ?? server.close() };
};

/**
 * Starts an endpoint. `behave(req, body, run)` answers a request that the endpoint takes; by default it works for `workMs` and
 * answers with a stamped 200. It has slots and a queue, and sheds with 503 and Not-Executed what finds no place.
 */
export const startEndpoint = async (store, record, {
    id, service, host, zone, slots = 6, queue = 18, workMs = 20, coldRemaining = 0, headers = () => ({}), shed = () => false,
    behave, arrivals,
}) => {
    const port = await findFreePort(host);
    const born = Date.now();
    let running = 0;
    let seq = 0;
    let draining = false;
    const waiting = [];
    const load = () => `${running},${waiting.length},${slots},100`;
    const common = attempt => ({
        ...(attempt === undefined ? {} : { "attempt-id": attempt }),
        "server-load": load(),
        ...headers(),
    });
    const finish = (res, status, fields, body = Buffer.alloc(0)) => {
        res.writeHead(status, { ...fields, "content-length": body.length });
        res.end(body);
    };
    const runNext = () => {
        while (running < slots && waiting.length > 0) {
            waiting.shift()();
        }
    };
    const server = http.createServer(async (req, res) => {
        if (req.url === "/health") {
            finish(res, draining ? 503 : 200, { "instance-id": id, ...common() });
            return;
        }
        const attempt = req.headers["attempt-id"];
        const body = await readBody(req).catch(() => undefined);
        if (body === undefined) {
            return;
        }
        if (attempt === undefined) {
            finish(res, 400, { "not-executed": "1", ...common() });
            return;
        }
        if ((req.headers["expect-instance"] ?? id) !== id) {
            finish(res, 421, { "instance-id": id, ...common(attempt) });
            return;
        }
        arrivals?.push({ atMs: now(), attempt, id, service });
        record.write("arrives", { attempt, server: id });
        if (shed() || (running >= slots && waiting.length >= queue)) {
            record.write("rejected", { attempt, server: id });
            finish(res, 503, { "not-executed": "1", ...common(attempt) });
            return;
        }
        let isGone = false;
        res.once("close", () => {
            isGone = true;
        });
        const run = async () => {
            if (isGone) {
                return;
            }
            running += 1;
            record.write("runs", { attempt, server: id });
            try {
                if (behave !== undefined) {
                    await behave({ req, res, body, attempt, common });
                    return;
                }
                await sleep(typeof workMs === "function" ? workMs() : workMs);
                const content = Buffer.from(`answer of ${id} to ${attempt}\n`);
                record.write("answers", { attempt, server: id, status: 200 });
                finish(res, 200, { "response-stamp": `${id}.${attempt}`, ...common(attempt) }, content);
            }
            finally {
                running -= 1;
                runNext();
            }
        };
        waiting.push(() => void run());
        runNext();
    });
    server.keepAliveTimeout = 10_000;
    await new Promise(resolve => server.listen(port, host, resolve));
    const address = `${host}:${port}`;
    const register = () => {
        seq += 1;
        store.put("servers", id, {
            service, address, zone, version: "1", slots, state: draining ? "draining" : "ready",
            coldRemaining: `${coldRemaining}ms`, seq, born,
        });
    };
    register();
    const timer = setInterval(register, 1_500);
    return {
        id,
        address,
        drain: () => {
            draining = true;
            register();
        },
        stop: () => {
            clearInterval(timer);
            server.close();
            server.closeAllConnections();
        },
    };
};

const ZONES = {
    "kutch-mundra": "kutch", "kutch-kandla": "kutch", "bharuch-dahej": "bharuch", "bharuch-hansot": "bharuch",
    "bhavnagar-ghogha": "bhavnagar", "bhavnagar-alang": "bhavnagar",
};
/** The zones of the machines of the small deployment kcwsb-barge, in the order of its site file. */
export const MACHINE_ZONES = [
    "kutch-mundra", "kutch-mundra", "bharuch-dahej", "bharuch-dahej", "bhavnagar-ghogha", "kutch-kandla", "bharuch-hansot",
    "bhavnagar-alang",
];
export const BOUNDS = { retryBudgetRatio: 0.2, budgetWindowMs: 10_000, budgetSlack: 56, seedLagMs: 3_000, gracePeriodMs: 6_000 };

const BASE_CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "places", "platform"];

const formatSettings = ({
    name, host, zone, ports, seeds, storeAddress, isFirstStart, bounds = "", contracts = BASE_CONTRACTS,
}) => `
node = "${name}"
role = "instance"
machineClass = "front"
serves = ["front","control","directory"]
ip = "${host}"
zone = "${zone}"
region = "${ZONES[zone]}"
internalPortRange = [${ports.internal},${ports.internal + 1}]
seeds = [${seeds.map(seed => `"${seed}:${ports.control}"`).join(",")}]
bootstrap = ${isFirstStart}
lossCounts = false
discovery = "platform"
entrypoint = "directory"
heartbeat = "1500ms"
contracts = ${JSON.stringify(contracts)}
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
${bounds}[platform]
address = "${storeAddress}"
form = "objects"
writesPerS = 400
readsPerS = 2000
history = "20s"
maxValueBytes = 1048576
minTtl = "1000ms"
`;

/** Prepares a machine; `start` runs the command of the deploy file there, as a process of its own. */
export const createMachine = ({ folder, name, host, zone, ports, storeAddress, record, bounds, contracts }) => {
    const file = join(folder, `${name}.toml`);
    const logFile = join(folder, `${name}.log`);
    let child;
    let exited = Promise.resolve();
    const machine = {
        name,
        host,
        zone,
        logFile,
        front: `${host}:${ports.front}`,
        /** Writes the settings file, as the platform does at every start and whenever the settings change. */
        writeSettings: (seeds, isFirstStart = true) =>
            writeFileSync(
                file,
                formatSettings({ name, host, zone, ports, seeds, storeAddress, isFirstStart, bounds, contracts }),
            ),
        start: () => {
            record.write("starts", { machine: name });
            child = spawn(process.execPath, [
                "--max-old-space-size=160", "--max-semi-space-size=4", "target/gypsumstage.cjs",
            ], {
                cwd: REPOSITORY,
                env: { PATH: process.env.PATH, HOME: process.env.HOME, GYPSUMSTAGE_CONFIG: file },
                stdio: ["ignore", "pipe", "pipe"],
            });
            const log = part => appendFileSync(logFile, part);
            child.stdout.on("data", log);
            child.stderr.on("data", log);
            exited = new Promise(resolve => child.once("exit", (code, signal) => {
                record.write("ended", { machine: name, code, signal });
                resolve({ code, signal });
            }));
        },
        signal: name_ => {
            record.write("signal", { machine: name, signal: name_ });
            child.kill(name_);
        },
        exited: () => exited,
        isRunning: () => child !== undefined && child.exitCode === null && child.signalCode === null,
        isReady: () => new Promise(resolve => {
            const req = http.get(`http://${host}:${ports.ready}/-/ready`, { agent: false, timeout: 500 }, res => {
                res.resume();
                resolve(res.statusCode === 200);
            });
            req.once("error", () => resolve(false));
            req.once("timeout", () => req.destroy());
        }),
        /** Asks the machine's directory, as a client does. */
        resolve: (hostName, region, zoneName) => new Promise(resolve => {
            const url = `http://${host}:${ports.directory}/-/resolve?name=${hostName}&region=${region}&zone=${zoneName}`;
            const req = http.get(url, { agent: false, timeout: 1_000 }, async res => {
                const body = await readBody(res).catch(() => Buffer.from("{}"));
                resolve(res.statusCode === 200 ? JSON.parse(body).addresses : []);
            });
            req.once("error", () => resolve([]));
            req.once("timeout", () => req.destroy());
        }),
    };
    return machine;
};

export const waitUntil = async (check, timeoutMs) => {
    const endAtMs = now() + timeoutMs;
    while (now() < endAtMs) {
        if (await check()) {
            return true;
        }
        await sleep(100);
    }
    return false;
};

let nextId = 1;
export const createAttemptId = () => `${Date.now().toString(16)}${String(nextId++).padStart(6, "0")}`;

/** Sends one client attempt; resolves to its status, or `closed`. */
export const sendRequest = (record, machine, { method = "GET", path, hostName, deadlineMs, body, agent, headers = {} }) => {
    const attempt = createAttemptId();
    record.write("sent", { attempt, to: machine.name, method, path });
    const sentAtMs = now();
    return new Promise(resolve => {
        const end = (status, content, resHeaders = {}) => {
            record.write("answered", { attempt, status, bytes: content?.length ?? 0 });
            resolve({ attempt, status, body: content, headers: resHeaders, sentAtMs });
        };
        const [host, port] = machine.front.split(":");
        const req = http.request({
            host, port, method, path, agent: agent ?? false,
            headers: { host: hostName, "attempt-id": attempt, "deadline-ms": String(deadlineMs), ...headers },
        }, async res => {
            const content = await readBody(res).catch(() => undefined);
            end(content === undefined ? "closed" : res.statusCode, content, res.headers);
        });
        req.setTimeout(deadlineMs + 1_000, () => req.destroy(new Error("deadline")));
        req.once("error", () => end("closed"));
        req.end(body);
    });
};

/** Runs a case: makes its folder, ends all that it started whatever happens, and exits with the verdict. */
export const runCase = async (caseFolder, play) => {
    const record = createRecord(caseFolder);
    const folder = mkdtempSync(join(tmpdir(), "gypsumstage-review-"));
    const machines = [];
    const stops = [];
    let code = EXIT.notRun;
    const endAll = () => machines.filter(each => each.isRunning()).forEach(machine => machine.signal("SIGKILL"));
    const giveUp = () => {
        endAll();
        record.close();
        process.exit(EXIT.notRun);
    };
    ["SIGINT", "SIGTERM"].forEach(name => process.once(name, giveUp));
    setTimeout(giveUp, MAX_PLAY_MS).unref();
    try {
        code = await play({
            record,
            folder,
            addMachine: machine => {
                machines.push(machine);
                return machine;
            },
            addStop: stop => stops.push(stop),
        });
    }
    catch (err) {
        record.write("could not run", { reason: String(err?.stack ?? err) });
        console.log(`could not run: ${err?.stack ?? err}`);
    }
    endAll();
    await Promise.all(machines.map(machine => machine.exited()));
    stops.forEach(stop => stop());
    if (process.env.KEEP_LOGS === undefined) {
        rmSync(folder, { recursive: true, force: true });
    }
    else {
        console.log(`logs in ${folder}`);
    }
    record.close();
    process.exit(code);
};
