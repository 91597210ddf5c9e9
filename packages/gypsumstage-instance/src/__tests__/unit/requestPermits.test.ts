import { failure } from "@gypsumstage/shared/failure";
import { createEndpoint } from "@gypsumstage/steering/__tests__/unit/traffic/createEndpoint";
import type { PermitDecision } from "@gypsumstage/steering/traffic/PermitDecision";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createPermitIssuer } from "../../permits/createPermitIssuer.js";
import { createPermitQuery } from "../../permits/createPermitQuery.js";
import { createRequestPermits } from "../../permits/createRequestPermits.js";
import type { RequestPermits } from "../../permits/RequestPermits.js";

const ENDPOINT = createEndpoint("d-1");
const GRANTED_TWO: PermitDecision = { kind: "granted", count: 2, validForMs: 60_000 };
const DENIED: PermitDecision = { kind: "denied", retryAfterMs: 60_000 };
const NO_METRICS = { countPermit: (): void => undefined };

const createPermits = (
    decide: () => PermitDecision,
    ratePerSecond: () => number | undefined = () => 3,
): { readonly permits: RequestPermits; readonly countQueries: () => number; } => {
    let queries = 0;
    const permits = createRequestPermits({ ratePerSecond }, () => {
        queries += 1;
        return Promise.resolve(decide());
    }, NO_METRICS);
    return { permits, countQueries: () => queries };
};

test("an endpoint without a limit needs no permit", async () => {
    const { permits, countQueries } = createPermits(() => DENIED, () => undefined);
    assert.equal(await permits.take(ENDPOINT), true);
    assert.equal(countQueries(), 0);
});

test("requests at the same time share a query, and take no more permits than were granted", async () => {
    let queries = 0;
    const { permits } = createPermits(() => ++queries === 1 ? GRANTED_TWO : DENIED);
    const taken = await Promise.all(Array.from({ length: 10 }, () => permits.take(ENDPOINT)));
    assert.equal(taken.filter(isGranted => isGranted).length, 2);
    assert.equal(queries, 2);
});

test("after a denial the issuer is not asked again before the time that it named, nor is the endpoint chosen", async () => {
    const { permits, countQueries } = createPermits(() => DENIED);
    assert.equal(await permits.take(ENDPOINT), false);
    assert.equal(await permits.take(ENDPOINT), false);
    assert.equal(countQueries(), 1);
    assert.ok(permits.deniedForMs(ENDPOINT) > 0);
});

test("a denial ends when the limit is withdrawn, and when the endpoint has started again", async () => {
    let ratePerSecond: number | undefined = 3;
    const { permits } = createPermits(() => DENIED, () => ratePerSecond);
    await permits.take(ENDPOINT);
    assert.equal(permits.deniedForMs({ ...ENDPOINT, startedAt: 2 }), 0);
    ratePerSecond = undefined;
    assert.equal(permits.deniedForMs(ENDPOINT), 0);
    assert.equal(await permits.take(ENDPOINT), true);
});

test("permits that were not used in time are not used later", async () => {
    const decisions: PermitDecision[] = [{ kind: "granted", count: 5, validForMs: -1 }];
    const { permits } = createPermits(() => decisions.shift() ?? DENIED);
    assert.equal(await permits.take(ENDPOINT), false);
});

test("an issuer that cannot be reached counts as a denial, so an instance that is cut off sends nothing", async () => {
    const query = createPermitQuery(
        "n-1",
        () => ({ name: "n-2", internalAddress: "10.0.0.2:1" }),
        { issue: () => assert.fail("the issuer is another instance") },
        {
            call: () =>
                Promise.resolve(
                    failure({ kind: "rpc-unreachable", address: "10.0.0.2:1", reason: "timeout" }),
                ),
        },
        () => undefined,
    );
    assert.equal((await query(ENDPOINT, 3)).kind, "denied");
});

test("an instance that does not consider itself the issuer issues nothing", () => {
    const issuer = createPermitIssuer(() => ENDPOINT, () => false, () => 1, { ratePerSecond: () => 1_000 });
    const query = { endpointId: "d-1", holder: "n-2", ratePerSecond: 1_000 };
    assert.equal(issuer.issue(query).kind, "denied");
});

test("the issuer keeps to the lower of its own and the holder's limit while one of them is out of date", () => {
    const countGranted = (ownRate: number, holderRate: number): number => {
        const issuer = createPermitIssuer(() => ENDPOINT, () => true, () => 1, {
            ratePerSecond: () => ownRate,
        });
        const query = { endpointId: "d-1", holder: "n-2", ratePerSecond: holderRate };
        const decisions = Array.from({ length: 5 }, () => issuer.issue(query));
        return decisions.filter(each => each.kind === "granted").length;
    };
    assert.equal(countGranted(0.001, 1_000), 0);
    assert.equal(countGranted(1_000, 0.001), 0);
});
