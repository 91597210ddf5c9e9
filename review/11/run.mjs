// Case 11: an endpoint that the store has removed stays in use after the reader of the store was replaced.
import { writeFileSync } from "node:fs";
import * as lib from "../standins-3/lib.mjs";

const { sleep, now } = lib;
const TROUBLE = process.env.TROUBLE !== "0";
const DRAIN_TIMEOUT_MS = 2_500;
const ZONES = {
    "kutch-mundra": "kutch",
    "bharuch-dahej": "bharuch",
    "bhavnagar-ghogha": "bhavnagar",
    "kutch-kandla": "kutch",
    "bharuch-hansot": "bharuch",
    "bhavnagar-alang": "bhavnagar",
};
/** Machines as on kcwsb-barge. */
const MACHINES = ["kutch-mundra", "kutch-mundra", "bharuch-dahej", "bharuch-dahej", ...Object.keys(ZONES).slice(2)];
const HOST = "desk.example";

const startedAt = now();
const record = [];
const note = text => {
    record.push(`${((now() - startedAt) / 1_000).toFixed(3)} ${text}`);
};
const finish = code => {
    lib.endAll();
    note(`exit code ${code}`);
    writeFileSync(new URL("record.txt", import.meta.url), `${record.join("\n")}\n`);
    process.exit(code);
};

const main = async () => {
    const store = await lib.startStore();
    const endpoints = [];
    for (let i = 0; i < 16; i++) {
        endpoints.push(await lib.startEndpoint(`i-${(0x51a0_0000 + i).toString(16)}`, { workMs: 700 }));
    }
    const routes = [{ name: "r-confirm", host: HOST, pathPrefix: "/confirm/", kind: "unsafe", service: "ledger" }];
    const putConfig = version => {
        store.put("config", "main", lib.createConfig(version, routes, ["ledger"]));
        note(`config ${version} acknowledged, revision ${store.revision()}`);
    };
    const putServer = (endpoint, zone) => {
        store.put("servers", endpoint.id, lib.createServer(endpoint, "ledger", zone));
        note(`server ${endpoint.id} in ${zone} entered, revision ${store.revision()}`);
    };
    putConfig(7);
    const zones = ["kutch-mundra", "kutch-mundra", "kutch-kandla", "kutch-kandla", "kutch-mundra", "kutch-kandla", "bharuch-dahej", "bharuch-dahej", "bharuch-dahej",
        "bharuch-hansot", "bharuch-hansot", "bharuch-hansot", "bhavnagar-ghogha", "bhavnagar-alang", "bhavnagar-ghogha", "bhavnagar-alang"];
    zones.forEach((zone, i) => putServer(endpoints[i], zone));
    const subnet = `127.${60 + process.pid % 40}.${process.pid >> 8 & 255}`;
    const hosts = MACHINES.map((_, i) => `${subnet}.${20 + i}`);
    const machines = [];
    for (const [i, zone] of MACHINES.entries()) {
        const region = ZONES[zone];
        const door = await store.openDoor();
        const instance = await lib.startInstance({
            name: `front-${zone}-${i}`,
            host: hosts[i],
            zone,
            region,
            zones: ZONES,
            seeds: hosts.slice(0, 3),
            store: door.address,
        });
        machines.push({ ...instance, region, door });
    }
    for (const machine of machines) {
        while (!await machine.isReady()) {
            if (now() - startedAt > 20_000) throw new Error(`${machine.name} did not become ready`);
            await sleep(50);
        }
    }
    note("all machines are ready");
    await sleep(4_000);
    const answers = [];
    const post = (machine, i) =>
        lib.send(machine, { method: "POST", host: HOST, path: `/confirm/${i}`, body: "x", deadlineMs: 4_000 })
            .then(answer => answers.push({ ...answer, by: machine }));
    // Each machine serves a few requests, so that all is known to work.
    await Promise.all(machines.flatMap(machine => [1, 2, 3, 4].map(i => post(machine, i))));
    if (answers.some(answer => answer.status !== 200)) throw new Error("a calm request failed");
    note(`${answers.length} calm requests were served`);
    await sleep(3_000);

    const readers = machines.filter(machine => machine.door.watching() > 0);
    note(`readers of the store: ${readers.map(each => each.name).join(", ")}`);
    const kutchReader = readers.find(each => each.region === "kutch");
    if (kutchReader === undefined) throw new Error("no reader in kutch");
    const resetAt = now();
    if (TROUBLE) {
        readers.forEach(each => each.door.resetWatchesOf("servers"));
        note(`one connection to the store of each of ${readers.length} machines reset`);
    }
    await sleep(500);
    // Scale in by two servers of 16: the first one does not report draining, the second one does and serves on for many seconds.
    const [gone, , draining] = endpoints;
    gone.leave();
    store.remove("servers", gone.id);
    const goneAt = now();
    note(`server ${gone.id} removed, revision ${store.revision()}`);
    await sleep(60);
    draining.leave();
    store.put("servers", draining.id, lib.createServer(draining, "ledger", "kutch-kandla", { state: "draining" }));
    note(`server ${draining.id} reported draining, revision ${store.revision()}`);
    await sleep(250);
    putConfig(9);
    await sleep(100);
    if (TROUBLE) {
        kutchReader.child.kill("SIGKILL");
        note(`${kutchReader.name} killed`);
    }
    // The reset and the kill concern other machines than those that are judged; all the same, their contact time passes first.
    await sleep(goneAt + 4_600 - now());
    const judged = machines.filter(each => !TROUBLE || each !== kutchReader);
    const lateSends = [];
    note(`requests begin, ${Math.round(now() - goneAt)} ms after the removal`);
    for (let i = 0; i < 20; i++) {
        judged.forEach(machine => lateSends.push(post(machine, 100 + i)));
        await sleep(30);
    }
    gone.exit();
    note(`server ${gone.id} exits, ${Math.round(now() - goneAt)} ms after the removal`);
    await Promise.all(lateSends);

    const counts = {};
    answers.forEach(({ status, error }) => counts[status ?? error] = (counts[status ?? error] ?? 0) + 1);
    note(`answers of all requests: ${JSON.stringify(counts)}`);
    answers.forEach(each =>
        note(`sent ${each.id} by ${each.by.name} at ${((each.atMs - startedAt) / 1_000).toFixed(3)}: ${each.status ?? each.error} ${each.text ?? ""}`)
    );
    const late = gone.arrivals.filter(each => each.atMs > goneAt + DRAIN_TIMEOUT_MS);
    for (const { attempt, atMs, ended } of late) {
        const answer = answers.find(each => each.id === attempt);
        note(
            `LATE: ${attempt} ran at ${gone.id} ${Math.round(atMs - goneAt)} ms after the removal, ${ended ? "to its end" : "cut off by the exit"}; `
                + `sent on by ${answer?.by.name}, answered ${answer?.status ?? answer?.error}`,
        );
    }
    machines.forEach(each => {
        const regained = each.lines("store-regained").length;
        note(`${each.name}: store-regained ${regained}, endpoint-gone ${each.lines("endpoint-gone").length}`);
    });
    note(`reset ${Math.round(goneAt - resetAt)} ms before the removal; late requests: ${late.length}`);
    finish(late.length > 0 ? 1 : 0);
};

setTimeout(() => {
    note("could not run: not at its end after 100 s");
    finish(2);
}, 100_000);
["SIGINT", "SIGTERM"].forEach(signal => process.on(signal, () => finish(2)));
main().catch(err => {
    note(`could not run: ${err.stack}`);
    finish(2);
});
