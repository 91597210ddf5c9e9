import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { connect } from "node:net";
import { Readable } from "node:stream";
import { after, before, test } from "node:test";
import { request } from "undici";
import { createTwoRegionPlan } from "../../deployment/createTwoRegionPlan.js";
import type { Deployment } from "../../deployment/Deployment.js";
import type { PlannedInstance } from "../../deployment/PlannedInstance.js";
import { startServing } from "../../deployment/startServing.js";
import { waitFor } from "../../deployment/waitFor.js";

const NETWORK = 47;
const UPLOAD_BYTES = 200_000_000;
/** Target: the peak resident memory of an entry stays below this size during a 200 MB upload. */
const MAX_RESIDENT_KB = 160_000;

let deployment: Deployment;
before(async () => {
    deployment = await startServing(createTwoRegionPlan(NETWORK, false));
});
after(() => deployment.stop());

const getFirstInstance = (): PlannedInstance => deployment.instances[0] as PlannedInstance;

const sendRaw = (text: string): Promise<string> =>
    new Promise((resolve, reject) => {
        const [host = "", port = ""] = getFirstInstance().entry.split(":");
        const socket = connect({ host, port: Number(port) }, () => socket.write(text));
        let response = "";
        socket.setTimeout(5_000, () => socket.destroy());
        socket.on("data", chunk => response += chunk.toString());
        socket.on("close", () => resolve(response));
        socket.on("error", reject);
    });

const malformedRequests: Readonly<Record<string, readonly [string, number]>> = {
    "both content-length and transfer-encoding": [
        "POST /confirmations HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ],
    "two different content-length fields": [
        "POST /confirmations HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ncontent-length: 6\r\n\r\nhello",
        400,
    ],
    "an invalid chunk size": [
        "POST /confirmations HTTP/1.1\r\nhost: x\r\nidempotency-key: k\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
        400,
    ],
    "a space in a field name": ["GET /berths/1 HTTP/1.1\r\nhost: x\r\nbad name: 1\r\n\r\n", 400],
    "a space before the colon of a field": ["GET /berths/1 HTTP/1.1\r\nhost: x\r\nname : 1\r\n\r\n", 400],
    "two host fields": ["GET /berths/1 HTTP/1.1\r\nhost: x\r\nhost: y\r\n\r\n", 400],
    "a bare carriage return in a field": ["GET /berths/1 HTTP/1.1\r\nhost: x\r\na: 1\rb: 2\r\n\r\n", 400],
    "a bare line feed after a field": ["GET /berths/1 HTTP/1.1\r\nhost: x\na: 1\r\n\r\n", 400],
    "two equal content-length fields": [
        "POST /confirmations HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\ncontent-length: 5\r\n\r\nhello",
        400,
    ],
    "a coding besides chunked": [
        "POST /confirmations HTTP/1.1\r\nhost: x\r\ntransfer-encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        400,
    ],
    "no HTTP syntax": ["hello\r\n\r\n", 400],
    "header fields above the size limit": [
        `GET /berths/1 HTTP/1.1\r\nhost: x\r\nlong: ${"a".repeat(40_000)}\r\n\r\n`,
        431,
    ],
};

for (const [name, [text, status]] of Object.entries(malformedRequests)) {
    test(`a request with ${name} is refused with status ${status} and a typed error`, async () => {
        const response = await sendRaw(text);
        assert.match(response, new RegExp(`^HTTP/1.1 ${status} `));
        assert.match(response, /gypsumstage-outcome: not-run/);
        assert.match(response, /"kind":"request-malformed"/);
    });
}

const readPeakResidentKb = (pid: number | undefined): number => {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(/VmHWM:\s+(\d+)/.exec(status)?.[1]);
};

test("a 200 MB upload is streamed with bounded memory", async () => {
    const chunk = Buffer.alloc(65_536, "u");
    const body = Readable.from((function*(): Generator<Buffer> {
        for (let sent = 0; sent < UPLOAD_BYTES; sent += chunk.length) {
            yield chunk;
        }
    })());
    const res = await request(`http://${getFirstInstance().entry}/photographs`, {
        method: "POST",
        headers: { "idempotency-key": "upload-200" },
        body,
    });
    const uploadReport = await res.body.json() as { readonly bytes: number; };
    assert.ok(uploadReport.bytes >= UPLOAD_BYTES);
    const peakKb = readPeakResidentKb(deployment.findRole(getFirstInstance().name, "entry").child.pid);
    process.stderr.write(`entry peak resident: ${peakKb} kB\n`);
    assert.ok(peakKb < MAX_RESIDENT_KB, `${peakKb} kB`);
});

test("a response truncated by the upstream is truncated at the caller too, never complete", async () => {
    deployment.upstreams.forEach(upstream =>
        upstream.setBehaviour({ truncatedFraction: 1, paddingBytes: 100_000 })
    );
    const res = await request(`http://${getFirstInstance().entry}/documents/1`);
    await assert.rejects(res.body.text());
    deployment.upstreams.forEach(upstream =>
        upstream.setBehaviour({ truncatedFraction: 0, paddingBytes: 0 })
    );
});

test("a disconnect of the caller cancels an idempotent request at its endpoint, a passed deadline any request", async () => {
    deployment.upstreams.forEach(upstream => upstream.setBehaviour({ shortMs: 30_000 }));
    const countInFlight = (): number =>
        deployment.upstreams.reduce((sum, upstream) => sum + upstream.record().inFlight, 0);
    const controller = new AbortController();
    const abortedRequest = request(`http://${getFirstInstance().entry}/berths/1`, {
        signal: controller.signal,
    }).catch(() => undefined);
    assert.notEqual(await waitFor(() => countInFlight() === 1, 2_000), undefined);
    controller.abort();
    await abortedRequest;
    assert.notEqual(
        await waitFor(() => countInFlight() === 0, 1_000),
        undefined,
        "request still in flight after its caller disconnected",
    );
    const timedOut = await request(`http://${getFirstInstance().entry}/berths/2`, {
        headers: { "gypsumstage-deadline-ms": "300" },
    });
    assert.equal(timedOut.statusCode, 504);
    assert.equal(timedOut.headers["gypsumstage-outcome"], "unknown");
    assert.equal(
        ((await timedOut.body.json()) as { readonly error: { readonly kind: string; }; }).error.kind,
        "deadline-passed",
    );
    assert.notEqual(await waitFor(() => countInFlight() === 0, 1_000), undefined);
    deployment.upstreams.forEach(upstream => upstream.setBehaviour({ shortMs: 5 }));
});

test("metrics include the time waited for a slot and the outcomes of requests", async () => {
    const res = await request(`http://${getFirstInstance().metrics}/metrics`);
    const text = await res.body.text();
    assert.match(text, /gypsumstage_slot_wait_seconds_bucket\{le="0.001",service="berth-desk"\} \d+/);
    assert.match(text, /gypsumstage_requests_total\{class="slot-check",outcome="unknown"\} \d+/);
});
