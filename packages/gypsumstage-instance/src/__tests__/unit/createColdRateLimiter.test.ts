import { sleep } from "@gypsumstage/shared/sleep";
import { createEndpoint } from "@gypsumstage/steering/__tests__/unit/traffic/createEndpoint";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createColdRateLimiter } from "../../upstream/createColdRateLimiter.js";

const REQUESTS = 500;
const ENDPOINTS = 20;
/** Longer than the owners of an endpoint are kept. */
const OWNERS_EXPIRED_MS = 600;

test("the instances are not ranked for each request while many endpoints are cold", () => {
    let rankings = 0;
    const limiter = createColdRateLimiter(
        "n-1",
        () => {
            rankings += 1;
            return [{ name: "n-1", region: "kutch" }];
        },
        () => true,
        () => 3,
    );
    const endpoints = Array.from({ length: ENDPOINTS }, (...[, index]) => createEndpoint(`d-${index}`));
    for (let sent = 0; sent < REQUESTS; sent++) {
        endpoints.forEach(limiter.isAvailable);
    }
    assert.ok(rankings < REQUESTS, `${rankings} rankings`);
});

test("an instance that joins becomes an owner of cold endpoints soon", async () => {
    const live = [{ name: "n-2", region: "kutch" }];
    const limiter = createColdRateLimiter("n-1", () => live, () => true, () => 3);
    const endpoint = createEndpoint("d-1");
    assert.equal(limiter.isAvailable(endpoint), false);
    live.push({ name: "n-1", region: "kutch" });
    await sleep(OWNERS_EXPIRED_MS);
    assert.equal(limiter.isAvailable(endpoint), true);
});

test("instances that start at the same time send nothing to a cold endpoint before they know each other", () => {
    const limiters = Array.from(
        { length: 84 },
        (...[, index]) =>
            createColdRateLimiter(
                `n-${index}`,
                () => [{ name: `n-${index}`, region: "kutch" }],
                () => false,
                () => 3,
            ),
    );
    const endpoint = createEndpoint("d-1");
    assert.equal(limiters.filter(limiter => limiter.isAvailable(endpoint)).length, 0);
});
