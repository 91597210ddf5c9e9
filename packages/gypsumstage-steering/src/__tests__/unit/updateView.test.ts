import type { Configuration } from "@gypsumstage/domain/Configuration";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EMPTY_VIEW } from "../../EMPTY_VIEW.js";
import { mergeRecords } from "../../mergeRecords.js";
import { pruneRecords } from "../../pruneRecords.js";
import { RECORD_RETENTION_MS } from "../../RECORD_RETENTION_MS.js";
import { updateView } from "../../updateView.js";

const createConfiguration = (generation: number): Configuration => ({
    generation,
    intent: { services: [], classes: [], dataCentres: {}, places: {}, links: {}, caps: {} },
    drains: [],
    moves: [],
});

test("the generation never decreases, in whatever order configurations arrive", () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 50 })), generations => {
        let view: SteeringView = EMPTY_VIEW;
        for (const generation of generations) {
            const before = view.configuration?.generation ?? 0;
            view = updateView(view, {
                kind: "configuration-seen",
                configuration: createConfiguration(generation),
            });
            assert.ok((view.configuration?.generation ?? 0) >= before);
        }
        assert.equal(view.configuration?.generation ?? 0, Math.max(0, ...generations));
    }));
});

test("an older read of the list or the plan never replaces a newer one", () => {
    const plan = { region: "r", generation: 3, nonce: "n", grants: {} };
    const read = updateView(EMPTY_VIEW, { kind: "plan-read", plan, readAtMs: 100 });
    assert.equal(
        updateView(read, { kind: "plan-read", plan: { ...plan, generation: 4 }, readAtMs: 90 }),
        read,
    );
    assert.equal(
        updateView(read, { kind: "plan-read", plan: { ...plan, generation: 2 }, readAtMs: 200 }),
        read,
    );
    const listed = updateView(EMPTY_VIEW, { kind: "members-read", members: [], readAtMs: 100 });
    assert.equal(updateView(listed, { kind: "members-confirmed", readAtMs: 50 }), listed);
});

test("merging records does not depend on their order, and records of replaced launches are evicted", () => {
    const createRecord = (launch: number, sequence: number) => ({
        name: "i",
        launch: `l${launch}`,
        dataCentre: "d",
        region: "r",
        entryAddress: "",
        peerAddress: "",
        steerAddress: "",
        sequence,
        generation: 0,
        entry: undefined,
        lastSeenAtMs: sequence,
    });
    fc.assert(fc.property(fc.array(fc.tuple(fc.nat(5), fc.nat(100))), pairs => {
        const records = pairs.map(([launch, sequence]) => createRecord(launch, sequence));
        const sort = (merged: readonly { readonly launch: string; readonly sequence: number; }[]): string[] =>
            merged.map(each => `${each.launch}/${each.sequence}`).sort();
        assert.deepEqual(sort(mergeRecords([], records)), sort(mergeRecords([], [...records].reverse())));
        const retained = pruneRecords(mergeRecords([], records), [], RECORD_RETENTION_MS + 101);
        assert.equal(retained.length, 0);
    }));
});
