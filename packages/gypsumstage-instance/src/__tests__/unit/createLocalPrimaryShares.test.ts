import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import { sleep } from "@gypsumstage/shared/sleep";
import { EMPTY_FLEET_VIEW } from "@gypsumstage/steering/traffic/EMPTY_FLEET_VIEW";
import type { FleetView } from "@gypsumstage/steering/traffic/FleetView";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createLocalPrimaryShares } from "../../request/createLocalPrimaryShares.js";

/** Longer than the minimum time between two updates of a share. */
const PAUSE_MS = 600;

const endpoint = (id: string, region: string): UpstreamEndpoint => ({
    id,
    region,
    dataCentre: `${region}-a`,
    service: "desk",
    address: "10.0.0.1:80",
    slots: 6,
    isDraining: false,
    coldForMs: 0,
    startedAt: 0,
});

const endpoints = [
    ...Array.from({ length: 6 }, (_, index) => endpoint(`k${index}`, "kutch")),
    ...Array.from({ length: 2 }, (_, index) => endpoint(`b${index}`, "bhavnagar")),
];

const view: FleetView = {
    ...EMPTY_FLEET_VIEW,
    endpoints: new Map(endpoints.map(each => [each.id, each])),
    endpointsByService: new Map([["desk", endpoints]]),
};

test("a sudden rise of demand barely changes the share, so that objects keep their endpoints", async () => {
    let own = 0;
    const shares = createLocalPrimaryShares("bhavnagar", () => view, () => [
        { region: "bhavnagar", demand: { desk: own } },
        { region: "kutch", demand: { desk: 100 } },
    ]);
    assert.equal(shares("desk"), 0.5, "a quarter of the slots for half of the demand");
    own = 900;
    await sleep(PAUSE_MS);
    assert.ok(Math.abs(shares("desk") - 0.5) < 0.01);
});

test("an instance that restarts under uneven load starts with the share for even load", () => {
    const shares = createLocalPrimaryShares("bhavnagar", () => view, () => [
        { region: "bhavnagar", demand: { desk: 900 } },
        { region: "kutch", demand: { desk: 100 } },
    ]);
    assert.equal(shares("desk"), 0.5);
});
