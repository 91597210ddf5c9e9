import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { countOwnSlots } from "../../countOwnSlots.js";

const places = ["p1", "p2", "p3", "p4"];

test("processes whose lists differ never count one slot twice", () => {
    fc.assert(fc.property(
        fc.subarray(places),
        fc.array(fc.subarray(places), { minLength: 4, maxLength: 4 }),
        fc.integer({ min: 1, max: 12 }),
        fc.string(),
        (gone, known, slots, endpoint) => {
            const live = places.filter(place => !gone.includes(place));
            const sum = live.reduce((total, place, index) => {
                // Each process knows some of the places that are really gone.
                const seen = new Set((known[index] ?? []).filter(each => gone.includes(each)));
                return total + countOwnSlots(endpoint, slots, places, seen, place);
            }, 0);
            assert.ok(sum <= slots, `${sum} of ${slots} slots`);
        },
    ));
});

test("all slots are used when every process knows who is gone", () => {
    fc.assert(
        fc.property(fc.subarray(places, { maxLength: 3 }), fc.integer({ min: 1, max: 12 }), (gone, slots) => {
            const live = places.filter(place => !gone.includes(place));
            const sum = live.reduce(
                (total, place) => total + countOwnSlots("e", slots, places, new Set(gone), place),
                0,
            );
            assert.equal(sum, slots);
        }),
    );
});
