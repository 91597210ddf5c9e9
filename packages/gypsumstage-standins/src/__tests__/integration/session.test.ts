import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { createCaller } from "../../caller/createCaller.js";
import { createBoardPair } from "../../deployment/createBoardPair.js";
import type { Deployment } from "../../deployment/Deployment.js";
import type { PlannedInstance } from "../../deployment/PlannedInstance.js";
import { readStatus } from "../../deployment/readStatus.js";
import { runCtl } from "../../deployment/runCtl.js";
import { startServing } from "../../deployment/startServing.js";
import { waitFor } from "../../deployment/waitFor.js";
import { maskVariables } from "../../golden/maskVariables.js";
import { matchGolden } from "../../golden/matchGolden.js";

const NETWORK = 46;
const SHOWN_HEADERS = [
    "content-type",
    "gypsumstage-outcome",
    "gypsumstage-replayed",
    "retry-after",
    "cache-control",
    "traceparent",
];
const testFile = fileURLToPath(import.meta.url);
const goldenFolder = fileURLToPath(new URL("../../../src/__tests__/integration/golden/", import.meta.url));
const folder = mkdtempSync(join(tmpdir(), "gypsumstage-session-"));

let deployment: Deployment;
before(async () => {
    deployment = await startServing(createBoardPair(NETWORK, false));
});
after(async () => {
    await deployment.stop();
    rmSync(folder, { recursive: true });
});

const first = (): PlannedInstance => deployment.instances[0] as PlannedInstance;

const exchangeHttp = async (
    method: "GET" | "POST",
    address: string,
    path: string,
    headers: Readonly<Record<string, string>> = {},
    body?: string,
): Promise<string> => {
    const res = await request(`http://${address}${path}`, {
        method,
        headers,
        ...(body === undefined ? {} : { body }),
    });
    const shown = SHOWN_HEADERS.filter(name => res.headers[name] !== undefined).map(name =>
        `${name}: ${String(res.headers[name])}`
    );
    const sent = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
    return [
        `> ${method} ${path}`,
        ...sent.map(line => `> ${line}`),
        `< ${res.statusCode}`,
        ...shown.map(line => `< ${line}`),
        await res.body.text(),
        "",
    ].join("\n");
};

test("golden file: a caller's session", async () => {
    const { entry, lookup } = first();
    const caller = createCaller([lookup]);
    const { home } = await caller.lookup("booking-ledger");
    await caller.stop();
    const key = `${home ?? ""}.${Date.now()}.abcdef0123456789`;
    const keyed = { "idempotency-key": key };
    const lines = [
        await exchangeHttp("GET", lookup, "/v1/lookup?service=nothing"),
        await exchangeHttp("GET", lookup, "/v1/lookup"),
        await exchangeHttp("GET", entry, "/berths/7"),
        await exchangeHttp("GET", entry, "/unknown"),
        await exchangeHttp("POST", entry, "/confirmations", {}, "{}"),
        await exchangeHttp("POST", entry, "/confirmations", keyed, "{}"),
        await exchangeHttp("POST", entry, "/confirmations", keyed, "{}"),
        await exchangeHttp("POST", entry, "/challans", keyed, "{}"),
        await exchangeHttp("POST", entry, "/confirmations", {
            "idempotency-key": `kutch-a-1.gone-gone-go.${Date.now()}.abcdef0123456789`,
        }, "{}"),
        await exchangeHttp("GET", entry, "/berths/7", { "gypsumstage-deadline-ms": "soon" }),
    ];
    await matchGolden(testFile, join(goldenFolder, "caller.txt"), maskVariables(lines.join("\n")));
});

test("golden file: an operator's session", async () => {
    const admin = ["--admin", first().steer];
    const transcript: string[] = [];
    const ctl = async (...args: readonly string[]): Promise<string> => {
        const run = await runCtl([...args, ...admin]);
        const shown = args.map(arg => arg.replace(folder, "."));
        transcript.push(
            `$ gypsumctl ${shown.join(" ")}`,
            `${run.stdout}${run.stderr}`.replaceAll(folder, "."),
            `exit code ${run.exitCode}`,
            "",
        );
        return run.stdout;
    };
    const intent = await ctl("get");
    const write = (name: string, text: string): string => {
        writeFileSync(join(folder, name), text);
        return join(folder, name);
    };
    const faster = write("faster.ini", intent.replace("latencyTarget = 150ms", "latencyTarget = 140ms"));
    const slower = write("slower.ini", intent.replace("latencyTarget = 150ms", "latencyTarget = 160ms"));
    const narrow = write("narrow.ini", intent.replace("cap = 35000kB/s", "cap = 1kB/s"));
    const weighted = write(
        "weighted.ini",
        intent.replace("latencyTarget = 150ms", "latencyTarget = 150ms\nweight = 3"),
    );
    await ctl("diff", faster);
    await ctl("apply", narrow);
    await ctl("apply", weighted);
    await ctl("apply", faster);
    await ctl("status", "--wait", "10");
    await ctl("apply", slower);
    await ctl("drain", "plan", "region", "bharuch");
    await ctl("drain", "start", "dataCentre", "pune-a");
    await ctl("drain", "start", "endpoint", "berth-desk-8");
    await ctl("drain", "start", "endpoint", "berth-desk-8");
    await waitFor(async () => (await readStatus(first().steer))?.drains[0]?.state === "drained", 10_000);
    await ctl("drain", "status");
    await ctl("drain", "cancel", "endpoint", "berth-desk-8");
    await ctl("move", "start", "berth-desk", "kutch", "bharuch", "--part", "0.5");
    await ctl("move", "status");
    await ctl("move", "cancel", "berth-desk", "kutch");
    await ctl("move", "pause");
    await ctl("explain", "GET", "/nowhere");
    await matchGolden(testFile, join(goldenFolder, "operator.txt"), maskVariables(transcript.join("\n")));
});

test("the binaries check their settings and start nothing half-configured", async () => {
    const bad = join(folder, "bad.ini");
    writeFileSync(bad, "[admin]\naddresses = nowhere\n");
    const run = await runCtl(["--config", bad, "--check"]);
    assert.equal(run.exitCode, 2);
    assert.match(run.stderr, /\[admin\] addresses: found "nowhere", allowed: IP:port, separated by commas/);
});
