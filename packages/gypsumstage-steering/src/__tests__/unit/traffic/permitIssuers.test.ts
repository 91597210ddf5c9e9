import assert from "node:assert/strict";
import { test } from "node:test";
import { choosePermitIssuer } from "../../../traffic/choosePermitIssuer.js";
import { computeIssuedShare } from "../../../traffic/computeIssuedShare.js";

const ENDPOINT = { id: "d-1", dataCentre: "kutch-a", region: "kutch" } as const;
const at = (name: string, dataCentre: string, region: string): {
    readonly name: string;
    readonly dataCentre: string;
    readonly region: string;
} => ({ name, dataCentre, region });

const A1 = at("a-1", "kutch-a", "kutch");
const A2 = at("a-2", "kutch-a", "kutch");
const B1 = at("b-1", "kutch-b", "kutch");
const C1 = at("c-1", "bharuch-a", "bharuch");
const FLEET = [A1, A2, B1, C1];

test("the issuer is in the endpoint's data centre, else in its region, else anywhere; the order of the list does not matter", () => {
    const issuer = choosePermitIssuer(ENDPOINT, FLEET);
    assert.ok(issuer === "a-1" || issuer === "a-2");
    assert.equal(choosePermitIssuer(ENDPOINT, [...FLEET].reverse()), issuer);
    assert.equal(choosePermitIssuer(ENDPOINT, [B1, C1]), "b-1");
    assert.equal(choosePermitIssuer(ENDPOINT, [C1]), "c-1");
    assert.equal(choosePermitIssuer(ENDPOINT, []), undefined);
});

test("an instance that joins elsewhere does not change the issuer", () => {
    const joined = [...FLEET, at("c-2", "bharuch-a", "bharuch"), at("b-2", "kutch-b", "kutch")];
    assert.equal(choosePermitIssuer(ENDPOINT, joined), choosePermitIssuer(ENDPOINT, FLEET));
});

/** Sum of what the sides of a cut issue, each of which sees only itself as live. */
const sumOfShares = (sides: readonly (readonly typeof A1[])[]): number =>
    sides.reduce((sum, side) => sum + computeIssuedShare(ENDPOINT, FLEET, each => side.includes(each)), 0);

test("while instances are cut off from each other, what all sides issue exceeds the limit by a quarter at most", () => {
    assert.equal(sumOfShares([FLEET]), 1);
    assert.equal(sumOfShares([[A1], [A2, B1, C1]]), 1);
    assert.equal(sumOfShares([[A1, A2], [B1, C1]]), 1.25);
    assert.equal(sumOfShares([[A1, A2, B1], [C1]]), 1.25);
});

test("an issuer issues the whole limit again when the records of silent instances have expired", () => {
    assert.equal(computeIssuedShare(ENDPOINT, [A1, B1], () => true), 1);
    assert.equal(computeIssuedShare(ENDPOINT, [C1], () => true), 1);
});
