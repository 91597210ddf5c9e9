import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { countOwnSlots } from "../../countOwnSlots.js";

const places = ["p1", "p2", "p3", "p4"];

test("processes with different sets of unoccupied places never count a slot twice", () => {
    fc.assert(fc.property(
        fc.subarray(places),
        fc.array(fc.subarray(places), { minLength: 4, maxLength: 4 }),
        fc.integer({ min: 1, max: 12 }),
        fc.string(),
        (unoccupied, knownByPlace, slots, endpoint) => {
            const live = places.filter(place => !unoccupied.includes(place));
            const sum = live.reduce((total, place, index) => {
                // Each process has a subset of the places that are in fact unoccupied.
                const knownUnoccupied = new Set(
                    (knownByPlace[index] ?? []).filter(each => unoccupied.includes(each)),
                );
                return total + countOwnSlots(endpoint, slots, places, knownUnoccupied, place);
            }, 0);
            assert.ok(sum <= slots, `${sum} of ${slots} slots`);
        },
    ));
});

test("every slot is assigned when all processes have the complete set of unoccupied places", () => {
    fc.assert(
        fc.property(
            fc.subarray(places, { maxLength: 3 }),
            fc.integer({ min: 1, max: 12 }),
            (unoccupied, slots) => {
                const live = places.filter(place => !unoccupied.includes(place));
                const sum = live.reduce(
                    (total, place) => total + countOwnSlots("e", slots, places, new Set(unoccupied), place),
                    0,
                );
                assert.equal(sum, slots);
            },
        ),
    );
});
