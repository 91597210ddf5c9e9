/** Trial, no case: a request that crashes its endpoints goes on reaching them when they fall silent without a reset. */
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { createServer } from "node:http";
import { createConfig, pickHosts, runCase, send, sleep, startInstances, startStore } from "../standins/lib.mjs";

const isTrouble = process.env.TROUBLE !== "0";
/** As many as the sheet has of this service. */
const ENDPOINTS = 14;
const HOST = "jepu9.example";
const SERVICE = "berth-desk";
const DEADLY_PATH = "/slot/deadly";
const CONTACT_MS = 4_000;
/** "Some seconds"; longer than the time budget, so that nothing is heard of the endpoint before that ends. */
const DOWN_MS = 4_000;
/** An entry goes after three intervals of 1.5 s without a heartbeat. */
const ENTRY_MS = 4_500;
const DEADLINE_MS = 3_000;
const PLAY_MS = 80_000;

/**
 * Starts an endpoint that crashes when it begins to run the deadly request. It then sends nothing, as without power, and is
 * back after some seconds as a new boot, which resets the connections of the one before.
 */
const startMortalEndpoint = async ({ host, name, zone, store, record, crashes, arrivals }) => {
    let boot = 0;
    let port = 0;
    let stop = () => undefined;
    const start = async () => {
        boot += 1;
        const id = `i-${name}-${boot}`;
        const connections = new Set();
        let isDark = false;
        let restart;
        const crash = () => {
            if (isDark) {
                return;
            }
            isDark = true;
            crashes.push(performance.now());
            record("endpoint crashes", { id });
            setTimeout(() => store.remove("servers", id), ENTRY_MS).unref();
            restart = setTimeout(() => {
                connections.forEach(socket => socket.resetAndDestroy());
                server.close(() => void start());
            }, DOWN_MS);
        };
        const server = createServer({ keepAliveTimeout: 10_000 }, async (req, res) => {
            res.on("error", () => undefined);
            if (isDark) {
                return;
            }
            if (req.url === "/health") {
                res.writeHead(200, { "instance-id": id, "content-length": 0 }).end();
                return;
            }
            const attemptId = req.headers["attempt-id"];
            if (req.headers["expect-instance"] !== id) {
                res.writeHead(421, { "instance-id": id, "attempt-id": attemptId, "content-length": 0 }).end();
                return;
            }
            if (req.url === DEADLY_PATH) {
                arrivals.push({ attemptId, atMs: performance.now() });
                if (isTrouble) {
                    crash();
                    return;
                }
            }
            await sleep(300);
            if (!res.destroyed && !isDark) {
                res.writeHead(200, { "attempt-id": attemptId, "response-stamp": `stamp-${id}`, "content-length": 4 }).end("done");
            }
        });
        server.on("connection", socket => {
            connections.add(socket);
            socket.on("error", () => undefined);
            socket.once("close", () => connections.delete(socket));
        });
        stop = () => {
            clearTimeout(restart);
            server.close();
            connections.forEach(socket => socket.destroy());
        };
        await new Promise(resolve => server.listen(port, host, resolve));
        port = server.address().port;
        store.put("servers", id, {
            service: SERVICE,
            address: `${host}:${port}`,
            zone,
            version: "v1",
            slots: 6,
            state: "ready",
            coldRemaining: "0ms",
            seq: 1,
            born: Date.now(),
        });
    };
    await start();
    return () => stop();
};

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, onEnd) => {
    const [firstHost, secondHost, otherHost] = pickHosts(3);
    const store = await startStore(otherHost);
    onEnd(store.stop);
    store.put("config", "main", createConfig(7, [
        { name: "r-1", host: HOST, pathPrefix: "/slot/", kind: "safe", timeoutMs: DEADLINE_MS, service: SERVICE },
        { name: "r-2", host: HOST, pathPrefix: "/load/", kind: "unsafe", timeoutMs: DEADLINE_MS, service: SERVICE },
    ]));
    const crashes = [];
    const arrivals = [];
    for (let index = 0; index < ENDPOINTS; index++) {
        onEnd(await startMortalEndpoint({
            host: otherHost,
            name: String(index + 1),
            zone: index % 2 === 0 ? "kutch-mundra" : "kutch-kandla",
            store,
            record,
            crashes,
            arrivals,
        }));
    }
    const fleet = await startInstances({
        hosts: [firstHost, secondHost],
        zones: ["kutch-mundra", "kutch-kandla"],
        storeAddress: store.address,
        record,
    });
    onEnd(fleet.stop);
    await sleep(6_000);
    const pending = [];
    const deadly = [];
    const bystanders = { sent: 0, served: 0, refused: 0, failed: 0 };
    const startedAtMs = performance.now();
    let count = 0;
    while (performance.now() - startedAtMs < PLAY_MS) {
        const instance = fleet.instances[Math.floor(count / 7) % 2];
        const sentAtMs = performance.now();
        if (count % 30 === 0) {
            pending.push(send({ instance, hostName: HOST, path: DEADLY_PATH, headers: { "affinity-key": "7" }, deadlineMs: DEADLINE_MS })
                .then(result => {
                    deadly.push({ sentAtMs, ...result });
                    record("deadly request", { attemptId: result.attemptId, status: result.status, error: result.error, tookMs: result.tookMs });
                }));
        }
        bystanders.sent += 1;
        pending.push(send({ instance, method: "POST", hostName: HOST, path: `/load/${count}`, headers: { "affinity-key": String(count) }, body: "x", deadlineMs: DEADLINE_MS })
            .then(({ status }) => {
                bystanders[status === 200 ? "served" : status === 503 ? "refused" : "failed"] += 1;
            }));
        count += 1;
        await sleep(200);
    }
    await Promise.all(pending);
    const thirdAtMs = crashes[2] ?? Infinity;
    const reached = new Set(arrivals.map(each => each.attemptId));
    const late = deadly.filter(each => each.sentAtMs > thirdAtMs + CONTACT_MS && reached.has(each.attemptId));
    record("counts", { deadlySent: deadly.length, crashes: crashes.length, reachedAfterThird: late.length, bystanders });
    return late.length > 3
        ? [`BUDGET: sent later than \`contact\` after the third crash, ${late.length} repeats of the request reached endpoints; ${crashes.length} crashes`]
        : [];
});
