// All machines lose power at the same moment, and the three that the settings name as seeds do not come back. See claim.txt.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
    BOUNDS, choosePorts, createMachine, EXIT, HAS_TROUBLE, hostOf, MACHINE_ZONES, now, runCase, sendRequest, sleep,
    startEndpoint, startStore, waitUntil,
} from "../standins-2/lib.mjs";

const SERVICE = "booking-ledger";
const HOST_NAME = "ledger.example";
const PATH = "/confirm/";
/** A second service, whose only endpoint states a rate limit in all its answers. */
const LIMITED_SERVICE = "document-intake";
const LIMITED_PATH = "/intake/";
const LIMIT_PER_SECOND = 4;
const LIMIT_WINDOW_MS = 4_000;
const LIMIT_ALLOWED = 1.5 * LIMIT_PER_SECOND * LIMIT_WINDOW_MS / 1000 + 5;
const LIMITED_REQUESTS_PER_SECOND = 32;
const ENDPOINTS = 12;
const REQUESTS_PER_SECOND = 67;
/** Share of the requests that endpoints turn away, and for how long, as `srv_grey` (shed all) on a day of the site file. */
const SHED_SHARE = 0.55;
const SHED_MS = 8_500;
const TRAFFIC_MS = 12_000;
/** Positions of the machines that are seeds: the first one of each region. */
const SEEDS = [0, 2, 4];
const OFF_MS = 2_000;
const SETTLE_MS = 12_000;

const POLICY = {
    version: 7,
    resources: [
        { resourceType: "routes", metadata: { name: "confirm" }, spec: {
            host: HOST_NAME, pathPrefix: PATH, kind: "unsafe", service: SERVICE, timeout: "4000ms", targetLatency: "600ms",
            priority: 1, maxAttempts: 3, sticky: false,
        } },
        { resourceType: "services", metadata: { name: SERVICE }, spec: {
            healthCheck: "/health", maxConnections: 330, coldStart: "3s", coldPerS: 6.8,
        } },
        { resourceType: "routes", metadata: { name: "intake" }, spec: {
            host: HOST_NAME, pathPrefix: LIMITED_PATH, kind: "unsafe", service: LIMITED_SERVICE, timeout: "4000ms",
            targetLatency: "600ms", priority: 1, maxAttempts: 1, sticky: false,
        } },
        { resourceType: "services", metadata: { name: LIMITED_SERVICE }, spec: {
            healthCheck: "/health", maxConnections: 330, coldStart: "3s", coldPerS: 6.8,
        } },
        { resourceType: "limits", metadata: { name: "limits" }, spec: {
            maxHeaderBytes: 16384, maxBodyBytes: 8388608, headerTimeout: "5s", idleTimeout: "10s",
        } },
    ],
};

const countMost = (times, windowMs) =>
    Math.max(0, ...times.map(fromMs => times.filter(atMs => atMs >= fromMs && atMs < fromMs + windowMs).length));

/** Finds the window with the most arrivals beyond the first of each request, over what BUDGET allows there. */
const findWorstWindow = (arrivals, sent) => {
    const seen = new Set();
    const extra = [];
    for (const { attempt, atMs } of arrivals) {
        if (seen.has(attempt)) {
            extra.push(atMs);
        }
        seen.add(attempt);
    }
    const countIn = (times, fromMs) => times.filter(atMs => atMs >= fromMs && atMs < fromMs + BOUNDS.budgetWindowMs).length;
    let worst = { extra: 0, allowed: Infinity, over: -Infinity };
    for (const fromMs of extra) {
        // The requests are counted in that window, the one before it or the one half a window before it, whichever has most.
        const requests = Math.max(...[0, 0.5, 1].map(part => countIn(sent, fromMs - part * BOUNDS.budgetWindowMs)));
        const allowed = BOUNDS.retryBudgetRatio * requests + BOUNDS.budgetSlack;
        const count = countIn(extra, fromMs);
        if (count - allowed > worst.over) {
            worst = { fromS: (fromMs / 1000).toFixed(1), extra: count, requests, allowed: Math.round(allowed), over: count - allowed };
        }
    }
    return worst;
};

const play = async ({ record, folder, addMachine, addStop }) => {
    const hosts = Array.from({ length: 12 }, (_, index) => hostOf(10 + index));
    const ports = await choosePorts(hosts);
    const store = await startStore(hostOf(2));
    addStop(store.stop);
    store.put("config", "main", POLICY);
    const arrivals = [];
    let isShedding = false;
    for (let index = 0; index < ENDPOINTS; index++) {
        const zone = [...new Set(MACHINE_ZONES)][index % 6];
        const endpoint = await startEndpoint(store, record, {
            id: `i-${index}`, service: SERVICE, host: hostOf(100 + index), zone, slots: 4, queue: 12, workMs: 100,
            shed: () => isShedding && Math.random() < SHED_SHARE, arrivals,
        });
        addStop(endpoint.stop);
    }
    const limitedArrivals = [];
    const limited = await startEndpoint(store, record, {
        id: "i-limited", service: LIMITED_SERVICE, host: hostOf(100 + ENDPOINTS), zone: MACHINE_ZONES[0], workMs: 20,
        headers: () => ({ "server-limit": String(LIMIT_PER_SECOND) }), arrivals: limitedArrivals,
    });
    addStop(limited.stop);
    const create = (index, zone) => addMachine(createMachine({
        folder, name: `front-${index}`, host: hosts[index], zone, ports, storeAddress: store.address, record,
    }));
    const first = MACHINE_ZONES.map((zone, index) => create(index, zone));
    const seedHosts = SEEDS.map(index => hosts[index]);
    for (const machine of first) {
        machine.writeSettings(seedHosts);
        machine.start();
    }
    const allReady = async machines => (await Promise.all(machines.map(each => each.isReady()))).every(Boolean);
    if (!await waitUntil(() => allReady(first), 20_000)) {
        console.log("the machines did not get ready");
        return EXIT.notRun;
    }
    await sleep(3_000);
    let serving = first;
    if (HAS_TROUBLE) {
        record.write("all machines lose power");
        first.forEach(machine => machine.signal("SIGKILL"));
        await Promise.all(first.map(machine => machine.exited()));
        const lostAtMs = now();
        const kept = first.filter((_, index) => !SEEDS.includes(index));
        const added = SEEDS.map((seed, index) => create(8 + index, MACHINE_ZONES[seed]));
        await sleep(OFF_MS);
        serving = [...kept, ...added];
        for (const machine of serving) {
            machine.writeSettings(seedHosts, false);
            machine.start();
        }
        // The settings follow within `seedLag`; then all seeds are machines that run.
        await sleep(lostAtMs + BOUNDS.seedLagMs - now());
        if (!await waitUntil(() => allReady(serving), 20_000)) {
            console.log("the machines did not get ready again");
            return EXIT.notRun;
        }
        const newSeeds = [kept[0], kept[1], kept[3]].map(machine => machine.host);
        for (const machine of serving) {
            machine.writeSettings(newSeeds, false);
            machine.signal("SIGHUP");
        }
        record.write("the settings name machines that run as seeds", { seeds: newSeeds.join(",") });
    }
    await sleep(SETTLE_MS);
    for (const machine of serving) {
        const addresses = await machine.resolve(HOST_NAME, "kutch", "kutch-mundra");
        record.write("directory", { machine: machine.name, zone: machine.zone, names: addresses.join(",") });
        console.log(`${machine.name} (${machine.zone}) names to a client in kutch-mundra: ${addresses.length} address(es)`);
    }
    const sent = [];
    const pending = [];
    const startMs = now();
    for (let count = 0; now() - startMs < TRAFFIC_MS; count++) {
        isShedding = now() - startMs < SHED_MS;
        const machine = serving[count % serving.length];
        sent.push(now());
        pending.push(sendRequest(record, machine, {
            method: "POST", path: `${PATH}${count}`, hostName: HOST_NAME, deadlineMs: 4_000, body: Buffer.from(`load ${count}`),
        }));
        await sleep(Math.max(0, startMs + (count + 1) * 1000 / REQUESTS_PER_SECOND - now()));
    }
    const answers = await Promise.all(pending);
    isShedding = false;
    const limitStartMs = now();
    const limitedPending = [];
    for (let count = 0; now() - limitStartMs < 14_000; count++) {
        limitedPending.push(sendRequest(record, serving[count % serving.length], {
            method: "POST", path: `${LIMITED_PATH}${count}`, hostName: HOST_NAME, deadlineMs: 2_000, body: Buffer.from("x"),
        }));
        await sleep(Math.max(0, limitStartMs + (count + 1) * 1000 / LIMITED_REQUESTS_PER_SECOND - now()));
    }
    await Promise.all(limitedPending);
    // The limit binds from `contact` (4 s) after the endpoint first named it.
    const bound = limitedArrivals.map(each => each.atMs).filter(atMs => atMs > limitStartMs + 4_500);
    const limitText = JSON.stringify({ most: countMost(bound, LIMIT_WINDOW_MS), allowed: LIMIT_ALLOWED });
    record.write("limit", { text: limitText });
    console.log(`LIMIT (letter 5): arrivals at the limited endpoint in 4 s: ${limitText}`);
    const statuses = {};
    answers.forEach(({ status }) => statuses[status] = (statuses[status] ?? 0) + 1);
    const worst = findWorstWindow(arrivals, sent);
    const text = JSON.stringify({ requests: sent.length, arrivals: arrivals.length, statuses, worst });
    record.write("result", { text });
    console.log(text);
    if ((statuses[200] ?? 0) < 0.4 * sent.length) {
        console.log("too few requests were served");
        return EXIT.notRun;
    }
    console.log(worst.over > 0 ? "BUDGET is broken" : "BUDGET holds");
    return worst.over > 0 ? EXIT.broken : EXIT.held;
};

await runCase(dirname(fileURLToPath(import.meta.url)), play);
