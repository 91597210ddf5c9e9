import { createEndpoint } from "@gypsumstage/steering/__tests__/unit/traffic/createEndpoint";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createEndpointRateLimits } from "../../upstream/createEndpointRateLimits.js";
import type { EndpointRateLimits } from "../../upstream/EndpointRateLimits.js";

const ENDPOINT = createEndpoint("d-1");
const AGE_MS = 60_000;

const createLimits = (): EndpointRateLimits =>
    createEndpointRateLimits(id => id === ENDPOINT.id ? ENDPOINT : undefined, () => undefined);

const createNotice = (fields: object): object => ({
    endpointId: "d-1",
    startedAt: 1,
    ageMs: 0,
    ...fields,
});

test("a limit ends when a response states none, and does not outlive the endpoint's run", () => {
    const limits = createLimits();
    limits.observe(ENDPOINT, 3);
    assert.equal(limits.ratePerSecond(ENDPOINT), 3);
    assert.equal(limits.ratePerSecond({ ...ENDPOINT, startedAt: 2 }), undefined);
    limits.observe(ENDPOINT, undefined);
    assert.equal(limits.ratePerSecond(ENDPOINT), undefined);
});

test("a notice that is older than what this instance was told changes nothing, also after a withdrawal", () => {
    const limits = createLimits();
    limits.observe(ENDPOINT, 3);
    assert.equal(limits.topic.merge(createNotice({ ratePerSecond: 9, ageMs: AGE_MS })), undefined);
    limits.observe(ENDPOINT, undefined);
    assert.equal(limits.topic.merge(createNotice({ ratePerSecond: 9, ageMs: AGE_MS })), undefined);
    assert.equal(limits.ratePerSecond(ENDPOINT), undefined);
});

test("a notice is passed on only if it changes something, so that it does not circulate for ever", () => {
    const limits = createLimits();
    assert.equal(limits.topic.merge(createNotice({ ratePerSecond: 3, ageMs: AGE_MS })), "d-1");
    assert.equal(limits.topic.merge(createNotice({ ratePerSecond: 3, ageMs: AGE_MS - 1 })), undefined);
    assert.equal(limits.topic.merge(createNotice({ ageMs: 0 })), "d-1");
    assert.equal(limits.ratePerSecond(ENDPOINT), undefined);
});

test("notices of endpoints that are not registered, of earlier runs and malformed ones are ignored", () => {
    const limits = createLimits();
    assert.equal(limits.topic.merge(createNotice({ endpointId: "gone", ratePerSecond: 3 })), undefined);
    assert.equal(limits.topic.merge(createNotice({ startedAt: 0, ratePerSecond: 3 })), undefined);
    assert.equal(limits.topic.merge({ endpointId: "d-1" }), undefined);
    assert.deepEqual(limits.topic.keys(), []);
});
