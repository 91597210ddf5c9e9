/** Case 4: bytes that are not a response, from one endpoint, hang a whole instance for seconds. */
import { Agent, request } from "node:http";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { createConfig, isReady, newId, pickHosts, readRssMb, runCase, sleep, startEndpoint, startInstances, startStore } from "../standins/lib.mjs";

const isTrouble = process.env.TROUBLE !== "0";
const HOST = "jepu9.example";
const TIMEOUT_MS = 1_200;
const DEADLINE_MS = 4_000;
/** The site's 231 requests a second of both kinds, over its eight instances. */
const REQUESTS_PER_S = 29;
const BEFORE_MS = 6_000;
const AFTER_MS = 20_000;
const ENDPOINTS = 14;

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, onEnd) => {
    const [firstHost, secondHost, otherHost] = pickHosts(3);
    const store = await startStore(otherHost);
    onEnd(store.stop);
    store.put("config", "main", createConfig(7, [
        { name: "r-1", host: HOST, pathPrefix: "/load/", kind: "unsafe", timeoutMs: TIMEOUT_MS, service: "booking-ledger" },
    ]));
    let isSpoiltDue = false;
    let spoilt;
    for (let index = 1; index <= ENDPOINTS; index++) {
        const endpoint = await startEndpoint({
            host: otherHost,
            id: `i-${index}`,
            service: "booking-ledger",
            zone: "kutch-mundra",
            slots: 4,
            run: async (req, res, body, { attemptId, id }) => {
                await sleep(300);
                if (isSpoiltDue) {
                    // Not a response: there are no statuses below 100.
                    isSpoiltDue = false;
                    spoilt = { attemptId, endpoint: id };
                    record("an endpoint sends bytes that are not a response", spoilt);
                    req.socket.write(`HTTP/1.1 099 Spoilt\r\nAttempt-Id: ${attemptId}\r\nContent-Length: 0\r\n\r\n`);
                    return;
                }
                if (!res.destroyed) {
                    res.writeHead(200, { "attempt-id": attemptId, "response-stamp": `stamp-${id}`, "content-length": 4 }).end("done");
                }
            },
        });
        onEnd(endpoint.stop);
        store.put("servers", endpoint.id, endpoint.registration);
    }
    const fleet = await startInstances({
        hosts: [firstHost, secondHost],
        zones: ["kutch-mundra", "kutch-kandla"],
        storeAddress: store.address,
        record,
    });
    onEnd(fleet.stop);
    await sleep(5_000);
    const [instance] = fleet.instances;
    let peakMb = 0;
    const memoryTimer = setInterval(() => {
        peakMb = Math.max(peakMb, readRssMb(instance.child.pid) ?? 0);
    }, 50);
    /** The platform's check: once a second. */
    let notReady = 0;
    const readyTimer = setInterval(async () => {
        if (!(await isReady(instance))) {
            notReady += 1;
            record("readiness check not answered with 200");
        }
    }, 1_000);
    onEnd(() => {
        clearInterval(memoryTimer);
        clearInterval(readyTimer);
    });
    const agent = new Agent({ keepAlive: true, timeout: 12_000 });
    const results = [];
    const pending = [];
    const sendOne = index =>
        new Promise(resolve => {
            const attemptId = newId();
            const startedAtMs = performance.now();
            const finish = status => {
                clearTimeout(timer);
                results.push({ attemptId, status, tookMs: Math.round(performance.now() - startedAtMs) });
                resolve();
            };
            const req = request({
                host: instance.host,
                port: instance.ports.front,
                method: "POST",
                path: `/load/${index}`,
                agent,
                headers: {
                    host: HOST,
                    "attempt-id": attemptId,
                    "affinity-key": String(index % 24),
                    "deadline-ms": String(DEADLINE_MS),
                    "content-length": 4,
                },
            });
            const timer = setTimeout(() => {
                finish(undefined);
                req.destroy();
            }, DEADLINE_MS);
            req.on("response", res => {
                res.resume();
                finish(res.statusCode);
            });
            req.on("error", () => finish(undefined));
            req.end("load");
        });
    const startedAtMs = performance.now();
    let sent = 0;
    while (performance.now() - startedAtMs < BEFORE_MS + AFTER_MS) {
        const elapsedMs = performance.now() - startedAtMs;
        while (sent < REQUESTS_PER_S * elapsedMs / 1_000) {
            pending.push(sendOne(sent));
            sent += 1;
        }
        if (isTrouble && elapsedMs > BEFORE_MS && spoilt === undefined) {
            isSpoiltDue = true;
        }
        await sleep(5);
    }
    await Promise.all(pending);
    const others = results.filter(each => each.attemptId !== spoilt?.attemptId);
    const hasAnswerWithin = ({ status, tookMs }, ms) => status !== undefined && tookMs <= ms;
    const late = others.filter(each => !hasAnswerWithin(each, TIMEOUT_MS));
    const unanswered = late.filter(each => !hasAnswerWithin(each, TIMEOUT_MS + 500));
    record("counts", {
        sent,
        served: results.filter(each => each.status === 200).length,
        unansweredAtTimeout: late.length,
        unansweredHalfASecondLater: unanswered.length,
        neverAnswered: others.filter(each => each.status === undefined).length,
        longestMs: Math.max(...others.map(each => each.tookMs)),
        readinessChecksMissed: notReady,
        peakMb,
    });
    return unanswered.length >= 8 && unanswered.length > late.length / 2
        ? [`CONFIG: beside the spoilt one, of ${late.length} requests still unanswered at their route's timeout, ${unanswered.length} had no answer half a second later`]
        : [];
});
