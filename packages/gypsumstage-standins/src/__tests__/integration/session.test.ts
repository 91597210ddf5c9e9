import assert from "node:assert/strict";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { after, before, test } from "node:test";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { createCaller } from "../../caller/createCaller.js";
import { createTwoRegionPlan } from "../../deployment/createTwoRegionPlan.js";
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
const goldenDirectory = fileURLToPath(new URL("../../../src/__tests__/integration/golden/", import.meta.url));
const directory = mkdtempSync(join(tmpdir(), "gypsumstage-session-"));

let deployment: Deployment;
before(async () => {
    deployment = await startServing(createTwoRegionPlan(NETWORK, false));
});
after(async () => {
    await deployment.stop();
    rmSync(directory, { recursive: true });
});

const getFirstInstance = (): PlannedInstance => deployment.instances[0] as PlannedInstance;

const transcribeExchange = async (
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
    const shownHeaders = SHOWN_HEADERS.filter(name => res.headers[name] !== undefined).map(name =>
        `${name}: ${String(res.headers[name])}`
    );
    const sentHeaders = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
    return [
        `> ${method} ${path}`,
        ...sentHeaders.map(line => `> ${line}`),
        `< ${res.statusCode}`,
        ...shownHeaders.map(line => `< ${line}`),
        await res.body.text(),
        "",
    ].join("\n");
};

test("golden file: a caller's session", async () => {
    const { entry, lookup } = getFirstInstance();
    const caller = createCaller([lookup]);
    const { home } = await caller.lookup("booking-ledger");
    await caller.stop();
    const key = `${home ?? ""}.${Date.now()}.abcdef0123456789`;
    const keyHeader = { "idempotency-key": key };
    const lines = [
        await transcribeExchange("GET", lookup, "/v1/lookup?service=nothing"),
        await transcribeExchange("GET", lookup, "/v1/lookup"),
        await transcribeExchange("GET", entry, "/berths/7"),
        await transcribeExchange("GET", entry, "/unknown"),
        await transcribeExchange("POST", entry, "/confirmations", {}, "{}"),
        await transcribeExchange("POST", entry, "/confirmations", keyHeader, "{}"),
        await transcribeExchange("POST", entry, "/confirmations", keyHeader, "{}"),
        await transcribeExchange("POST", entry, "/challans", keyHeader, "{}"),
        await transcribeExchange("POST", entry, "/confirmations", {
            "idempotency-key": `kutch-a-1.gone-gone-go.${Date.now()}.abcdef0123456789`,
        }, "{}"),
        await transcribeExchange("GET", entry, "/berths/7", { "gypsumstage-deadline-ms": "soon" }),
    ];
    await matchGolden(testFile, join(goldenDirectory, "caller.txt"), maskVariables(lines.join("\n")));
});

test("golden file: an operator's session", async () => {
    const admin = ["--admin", getFirstInstance().steer];
    const transcript: string[] = [];
    const runAndTranscribe = async (...args: readonly string[]): Promise<string> => {
        const run = await runCtl([...args, ...admin]);
        const shownArgs = args.map(arg => arg.replace(directory, "."));
        transcript.push(
            `$ gypsumctl ${shownArgs.join(" ")}`,
            `${run.stdout}${run.stderr}`.replaceAll(directory, "."),
            `exit code ${run.exitCode}`,
            "",
        );
        return run.stdout;
    };
    const intent = await runAndTranscribe("get");
    const writeIntentFile = (name: string, text: string): string => {
        writeFileSync(join(directory, name), text);
        return join(directory, name);
    };
    const faster = writeIntentFile(
        "faster.ini",
        intent.replace("latencyTarget = 150ms", "latencyTarget = 140ms"),
    );
    const slower = writeIntentFile(
        "slower.ini",
        intent.replace("latencyTarget = 150ms", "latencyTarget = 160ms"),
    );
    const narrow = writeIntentFile("narrow.ini", intent.replace("cap = 35000kB/s", "cap = 1kB/s"));
    const weighted = writeIntentFile(
        "weighted.ini",
        intent.replace("latencyTarget = 150ms", "latencyTarget = 150ms\nweight = 3"),
    );
    await runAndTranscribe("diff", faster);
    await runAndTranscribe("apply", narrow);
    await runAndTranscribe("apply", weighted);
    await runAndTranscribe("apply", faster);
    await runAndTranscribe("status", "--wait", "10");
    await runAndTranscribe("apply", slower);
    await runAndTranscribe("drain", "plan", "region", "bharuch");
    await runAndTranscribe("drain", "start", "dataCentre", "pune-a");
    await runAndTranscribe("drain", "start", "endpoint", "berth-desk-8");
    await runAndTranscribe("drain", "start", "endpoint", "berth-desk-8");
    await waitFor(
        async () => (await readStatus(getFirstInstance().steer))?.drains[0]?.state === "drained",
        10_000,
    );
    await runAndTranscribe("drain", "status");
    await runAndTranscribe("drain", "cancel", "endpoint", "berth-desk-8");
    await runAndTranscribe("move", "start", "berth-desk", "kutch", "bharuch", "--part", "0.5");
    await runAndTranscribe("move", "status");
    await runAndTranscribe("move", "cancel", "berth-desk", "kutch");
    await runAndTranscribe("move", "pause");
    await runAndTranscribe("explain", "GET", "/nowhere");
    await matchGolden(testFile, join(goldenDirectory, "operator.txt"), maskVariables(transcript.join("\n")));
});

test("gypsumctl --check exits with an error on invalid settings and reports the key and the allowed values", async () => {
    const bad = join(directory, "bad.ini");
    writeFileSync(bad, "[admin]\naddresses = nowhere\n");
    const run = await runCtl(["--config", bad, "--check"]);
    assert.equal(run.exitCode, 2);
    assert.match(run.stderr, /\[admin\] addresses: found "nowhere", allowed: IP:port, separated by commas/);
});
