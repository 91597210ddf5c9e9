// The last key of a deployment is taken away. See claim.txt.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
    choosePorts, createMachine, EXIT, HAS_TROUBLE, hostOf, MACHINE_ZONES, runCase, sendRequest, sleep, startEndpoint, startStore,
    waitUntil,
} from "../standins-2/lib.mjs";

const SERVICE = "ride-desk";
const HOST_NAME = "rides.example";
const PATH = "/unlock/";
const TENANT = "velo-labs";
const KEY = "key-that-leaked";
const OTHER_KEY = "key-that-stays";
const UNKNOWN_KEY = "key-of-nobody";
const REVOKE_MS = 5_000;

/** What the settings of a deployment with tenants hold beside those of a small one (akagera-velo-grown). */
const TENANT_BOUNDS = `strictRevoke = true
revoke = "${REVOKE_MS}ms"
quotaWindow = "5s"
quotaTolerance = 0.1
quotaBurst = 20
`;
const CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "places", "tenants", "quota", "platform"];

const createPolicy = (version, apiKeys) => ({
    version,
    resources: [
        { resourceType: "routes", metadata: { name: "unlock" }, spec: {
            host: HOST_NAME, pathPrefix: PATH, kind: "unsafe", service: SERVICE, timeout: "4000ms", targetLatency: "600ms",
            priority: 1, maxAttempts: 2, sticky: false,
        } },
        { resourceType: "services", metadata: { name: SERVICE }, spec: {
            healthCheck: "/health", maxConnections: 330, coldStart: "3s", coldPerS: 6.8,
        } },
        { resourceType: "tenants", metadata: { name: TENANT }, spec: { apiKeys, ratePerS: 20, burst: 20 } },
        { resourceType: "limits", metadata: { name: "limits" }, spec: {
            maxHeaderBytes: 16384, maxBodyBytes: 67108864, headerTimeout: "3000ms", idleTimeout: "15000ms",
        } },
    ],
});

const play = async ({ record, folder, addMachine, addStop }) => {
    const zones = MACHINE_ZONES.slice(0, 4);
    const hosts = zones.map((_, index) => hostOf(10 + index));
    const ports = await choosePorts(hosts);
    const store = await startStore(hostOf(2));
    addStop(store.stop);
    store.put("config", "main", createPolicy(7, HAS_TROUBLE ? [KEY] : [KEY, OTHER_KEY]));
    const arrivals = [];
    for (let index = 0; index < 4; index++) {
        const endpoint = await startEndpoint(store, record, {
            id: `i-${index}`, service: SERVICE, host: hostOf(100 + index), zone: zones[index], arrivals,
        });
        addStop(endpoint.stop);
    }
    const machines = zones.map((zone, index) => addMachine(createMachine({
        folder, name: `front-${index}`, host: hosts[index], zone, ports, storeAddress: store.address, record,
        bounds: TENANT_BOUNDS, contracts: CONTRACTS,
    })));
    for (const machine of machines) {
        machine.writeSettings(hosts.slice(0, 3));
        machine.start();
    }
    const allReady = async () => (await Promise.all(machines.map(each => each.isReady()))).every(Boolean);
    if (!await waitUntil(allReady, 20_000)) {
        console.log("the machines did not get ready");
        return EXIT.notRun;
    }
    await sleep(4_000);
    let isCounting = false;
    const wrong = [];
    const send = async (machine, what, credential) => {
        const headers = credential === undefined ? {} : { credential };
        const { attempt, status } = await sendRequest(record, machine, {
            method: "POST", path: `${PATH}1`, hostName: HOST_NAME, deadlineMs: 3_000, body: Buffer.from("unlock"), headers,
        });
        const hasRun = arrivals.some(each => each.attempt === attempt);
        console.log(`${machine.name}, ${what}: ${status}${hasRun ? ", it has run" : ""}`);
        if (isCounting && hasRun) {
            wrong.push(`${what} at ${machine.name}`);
        }
        return status;
    };
    for (const machine of machines) {
        const statuses = [await send(machine, "the tenant's key", KEY), await send(machine, "an unknown key", UNKNOWN_KEY)];
        if (statuses.join() !== "200,401") {
            console.log("keys are not judged as they should be from the start");
            return EXIT.notRun;
        }
    }
    record.write("config 8 takes the key away", { keysLeft: HAS_TROUBLE ? 0 : 1 });
    store.put("config", "main", createPolicy(8, HAS_TROUBLE ? [] : [OTHER_KEY]));
    await sleep(REVOKE_MS + 2_000);
    isCounting = true;
    for (const machine of machines) {
        await send(machine, "the key that was taken away", KEY);
        await send(machine, "an unknown key", UNKNOWN_KEY);
        await send(machine, "no key", undefined);
    }
    record.write("result", { ranAlthoughNoKeyAllowsIt: wrong.length });
    console.log(wrong.length > 0 ? `ROUTE and CONFIG are broken: ${wrong.length} requests ran` : "the rules hold");
    return wrong.length > 0 ? EXIT.broken : EXIT.held;
};

await runCase(dirname(fileURLToPath(import.meta.url)), play);
