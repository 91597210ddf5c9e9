import assert from "node:assert/strict";
import { test } from "node:test";
import { rankEndpoints } from "../../../traffic/rankEndpoints.js";
import { createEndpoint } from "./createEndpoint.js";

const near = Array.from({ length: 6 }, (_, index) => createEndpoint(`near-${index}`));
const far = Array.from({ length: 6 }, (_, index) => createEndpoint(`far-${index}`, { region: "bharuch" }));
const keys = Array.from({ length: 400 }, (_, index) => `k${index}`);

test("every instance of a region computes the same candidates, whatever the order of its endpoint list", () => {
    for (const key of keys) {
        const forwards = rankEndpoints(key, [...near, ...far], "kutch", 0.7);
        const backwards = rankEndpoints(key, [...far, ...near].reverse(), "kutch", 0.7);
        assert.deepEqual(forwards, backwards);
    }
});

test("removing an endpoint moves only the objects whose primary it was", () => {
    const remaining = near.slice(1);
    for (const key of keys) {
        const [before] = rankEndpoints(key, near, "kutch", 1);
        const [after] = rankEndpoints(key, remaining, "kutch", 1);
        assert.ok(before?.id === "near-0" || before === after);
    }
});

test("objects are distributed over the endpoints in proportion to their slots", () => {
    const large = createEndpoint("large", { slots: 12 });
    const primaries = keys.map(key => rankEndpoints(key, [...near, large], "kutch", 1)[0]?.id);
    const share = primaries.filter(id => id === "large").length / keys.length;
    assert.ok(share > 0.17 && share < 0.33, String(share));
});

test("the share of objects with their primary endpoint in the region is close to the given share", () => {
    for (const share of [0, 0.3, 0.8, 1]) {
        const primaries = keys.map(key => rankEndpoints(key, [...near, ...far], "kutch", share)[0]);
        const measuredShare = primaries.filter(endpoint => endpoint?.region === "kutch").length / keys.length;
        assert.ok(Math.abs(measuredShare - share) < 0.08, `${measuredShare} for ${share}`);
    }
});

test("a larger local primary share moves objects into the region and none out of it", () => {
    for (const key of keys) {
        const [less] = rankEndpoints(key, [...near, ...far], "kutch", 0.3);
        const [more] = rankEndpoints(key, [...near, ...far], "kutch", 0.6);
        assert.ok(less?.region !== "kutch" || more === less);
    }
});

test("an object whose primary endpoint is elsewhere has two candidates there before the one in the region", () => {
    for (const key of keys) {
        const [, second, third] = rankEndpoints(key, [...near, ...far], "kutch", 0);
        assert.equal(second?.region, "bharuch");
        assert.equal(third?.region, "kutch");
    }
});
