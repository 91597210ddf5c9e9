import assert from "node:assert/strict";
import { test } from "node:test";
import { rankEndpoints } from "../../../traffic/rankEndpoints.js";
import { createEndpoint } from "./createEndpoint.js";

const near = Array.from({ length: 6 }, (_, index) => createEndpoint(`near-${index}`));
const far = Array.from({ length: 6 }, (_, index) => createEndpoint(`far-${index}`, { region: "bharuch" }));
const keys = Array.from({ length: 400 }, (_, index) => `k${index}`);

test("every instance of a region finds the same places, in whatever order it knows the endpoints", () => {
    for (const key of keys) {
        const forwards = rankEndpoints(key, [...near, ...far], "kutch", 0.7);
        const backwards = rankEndpoints(key, [...far, ...near].reverse(), "kutch", 0.7);
        assert.deepEqual(forwards, backwards);
    }
});

test("an endpoint that leaves moves only its own objects", () => {
    const left = near.slice(1);
    for (const key of keys) {
        const [before] = rankEndpoints(key, near, "kutch", 1);
        const [after] = rankEndpoints(key, left, "kutch", 1);
        assert.ok(before?.id === "near-0" || before === after);
    }
});

test("the objects are spread over the endpoints by their slots", () => {
    const large = createEndpoint("large", { slots: 12 });
    const firsts = keys.map(key => rankEndpoints(key, [...near, large], "kutch", 1)[0]?.id);
    const part = firsts.filter(id => id === "large").length / keys.length;
    assert.ok(part > 0.17 && part < 0.33, String(part));
});

test("the share of objects that have their first place in the region follows the home share", () => {
    for (const share of [0, 0.3, 0.8, 1]) {
        const firsts = keys.map(key => rankEndpoints(key, [...near, ...far], "kutch", share)[0]);
        const part = firsts.filter(endpoint => endpoint?.region === "kutch").length / keys.length;
        assert.ok(Math.abs(part - share) < 0.08, `${part} for ${share}`);
    }
});

test("a growing home share brings objects home and sends none away", () => {
    for (const key of keys) {
        const [less] = rankEndpoints(key, [...near, ...far], "kutch", 0.3);
        const [more] = rankEndpoints(key, [...near, ...far], "kutch", 0.6);
        assert.ok(less?.region !== "kutch" || more === less);
    }
});

test("an object that is at home elsewhere takes two places there before one in the region", () => {
    for (const key of keys) {
        const [, second, third] = rankEndpoints(key, [...near, ...far], "kutch", 0);
        assert.equal(second?.region, "bharuch");
        assert.equal(third?.region, "kutch");
    }
});
