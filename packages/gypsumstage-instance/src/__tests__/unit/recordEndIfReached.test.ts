import { createEndpoint } from "@gypsumstage/steering/__tests__/unit/traffic/createEndpoint";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRequestFingerprint } from "../../request/createRequestFingerprint.js";
import { createSuspectRequests } from "../../suspects/createSuspectRequests.js";
import { recordEndIfReached } from "../../suspects/recordEndIfReached.js";

const ENDPOINTS = ["e1", "e2", "e3"].map(id => createEndpoint(id));
const REQUEST = createRequestFingerprint({
    method: "GET",
    path: "/a",
    headers: { host: "h" },
    body: undefined,
});

/** Breaks a request's connection to each endpoint, finds their ports closed, and returns how many requests are suspect. */
const countSuspects = async (isReached: boolean): Promise<number> => {
    const suspects = createSuspectRequests(() => false, () => undefined);
    for (const endpoint of ENDPOINTS) {
        suspects.recordBroken(endpoint, REQUEST);
        await recordEndIfReached({ check: () => Promise.resolve(isReached) }, suspects, endpoint);
    }
    return suspects.size();
};

test("closed ports are the ends of endpoints while the service is reached, and not while this instance is cut off", async () => {
    assert.equal(await countSuspects(true), 1);
    assert.equal(await countSuspects(false), 0);
});

test("a request whose connections broke with the links of this instance may be tried again", () => {
    const suspects = createSuspectRequests(() => false, () => undefined);
    ENDPOINTS.forEach(endpoint => suspects.recordBroken(endpoint, REQUEST));
    assert.equal(suspects.judge(REQUEST, true).kind, "refused");
    ENDPOINTS.forEach(suspects.forgetBroken);
    assert.equal(suspects.judge(REQUEST, true).kind, "allowed");
});
