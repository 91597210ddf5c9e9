import type { Route } from "@gypsumstage/domain/traffic/Route";
import type { TrafficPolicy } from "@gypsumstage/domain/traffic/TrafficPolicy";
import type { Workspace } from "@gypsumstage/domain/traffic/Workspace";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { AdmissionRequest } from "../../../traffic/AdmissionRequest.js";
import { decideAdmission } from "../../../traffic/decideAdmission.js";
import { findAdmissionRules } from "../../../traffic/findAdmissionRules.js";
import { holdBackPlacement } from "../../../traffic/holdBackPlacement.js";
import { limitEndpointQueue } from "../../../traffic/limitEndpointQueue.js";
import { orderAdmissions } from "../../../traffic/orderAdmissions.js";
import { createEndpoint } from "./createEndpoint.js";

const createRequest = (fields: Partial<AdmissionRequest> = {}): AdmissionRequest => ({
    priority: 1,
    workspace: "a",
    arrivedAtMs: 0,
    targetAtMs: 800,
    deadlineAtMs: 5_000,
    ...fields,
});

const createPolicy = (
    routes: readonly Pick<Route, "priority" | "targets">[],
    workspaces: readonly Partial<Workspace>[] = [],
): TrafficPolicy => ({ routes, workspaces } as unknown as TrafficPolicy);

const toDesk = [{ service: "desk", weight: 1 }] as unknown as Route["targets"];
const STATE = { ahead: 0, startsPerSecond: 10, workMs: 300, nowMs: 0, random: 0.5 };
const RULE = { mostUrgent: 0 };
const CANDIDATE = {
    ...createEndpoint("e1", { slots: 4 }),
    isOnPrimarySide: true,
    slowness: 1,
    errorShare: 0,
    roundTripMs: 2,
};
const noUse = (): number => 0;

test("admission is for configurations with workspaces, and others are served as before", () => {
    const one = { priority: 1, targets: toDesk };
    const two = { priority: 2, targets: toDesk };
    assert.equal(findAdmissionRules(createPolicy([one, one])).size, 0);
    assert.equal(findAdmissionRules(createPolicy([one, two])).size, 0);
    const ofRoutes = findAdmissionRules(createPolicy([one, two], [{ priority: undefined }]));
    assert.deepEqual(ofRoutes.get("desk"), { mostUrgent: 1 });
    const withWorkspace = createPolicy([one, one], [{ priority: 0 }]);
    assert.deepEqual(findAdmissionRules(withWorkspace).get("desk"), { mostUrgent: 0 });
});

test("requests that can be on time precede late ones of the same urgency, not more urgent ones", () => {
    const late = createRequest({ targetAtMs: 100 });
    const onTime = createRequest({ deadlineAtMs: 6_000 });
    const urgent = createRequest({ priority: 0, targetAtMs: 100 });
    assert.deepEqual(orderAdmissions([late, onTime, urgent], RULE, noUse, 300, 0), [urgent, onTime, late]);
});

test("a workspace that used the service little precedes one that used it much", () => {
    const noisy = createRequest({ deadlineAtMs: 3_000 });
    const quiet = createRequest({ workspace: "b" });
    const use = (name: string | undefined): number => name === "a" ? 8 : 1;
    assert.deepEqual(orderAdmissions([noisy, quiet], RULE, use, 300, 0), [quiet, noisy]);
});

test("a less urgent request precedes new urgent ones after half of its time, so that it is not starved", () => {
    const waiting = createRequest({ priority: 2, deadlineAtMs: 6_000, targetAtMs: 4_000 });
    const urgent = createRequest({ arrivedAtMs: 2_800, targetAtMs: 4_000, deadlineAtMs: 8_200 });
    assert.equal(orderAdmissions([urgent, waiting], RULE, noUse, 300, 2_900)[0], urgent);
    assert.equal(orderAdmissions([urgent, waiting], RULE, noUse, 300, 3_200)[0], waiting);
    const limitAt = (nowMs: number): number => limitEndpointQueue({ mostUrgent: 1 }, waiting, 300, nowMs);
    assert.ok(limitAt(3_200) > limitAt(2_900));
});

test("a less urgent request queues less at an endpoint, and does not go to a more expensive one instead", () => {
    const warm = { ...CANDIDATE, inFlight: 7, isWarm: true };
    const cold = { ...CANDIDATE, id: "e2", inFlight: 1, isWarm: false };
    const place = (id: string, priority: number): string => {
        const limit = limitEndpointQueue(RULE, createRequest({ priority }), 300, 0);
        return holdBackPlacement({ kind: "placed", id, expectedMs: 1 }, [warm, cold], limit).kind;
    };
    assert.equal(place("e1", 0), "placed");
    assert.equal(place("e1", 1), "no-room");
    assert.equal(place("e2", 0), "placed");
});

test("late work gives way at the endpoints only where new requests can be on time", () => {
    const request = createRequest({ priority: 0 });
    const limitAt = (workMs: number, nowMs: number): number =>
        limitEndpointQueue(RULE, request, workMs, nowMs);
    assert.ok(limitAt(300, 700) < limitAt(300, 100));
    assert.equal(limitAt(900, 700), limitAt(900, 0));
});

test("a request that can only be late may take a slot, and is refused once it cannot meet its deadline", () => {
    const request = createRequest({ targetAtMs: 100 });
    assert.equal(decideAdmission(request, STATE).kind, "place");
    assert.equal(decideAdmission(request, { ...STATE, nowMs: 4_650 }).kind, "place");
    assert.equal(decideAdmission(request, { ...STATE, nowMs: 4_750 }).kind, "refuse");
});

test("a request is refused at once when those ahead of it take longer than it has, and waits otherwise", () => {
    assert.equal(decideAdmission(createRequest(), { ...STATE, ahead: 40 }).kind, "wait");
    assert.equal(decideAdmission(createRequest(), { ...STATE, ahead: 60 }).kind, "refuse");
    const many = decideAdmission(createRequest(), { ...STATE, ahead: 500, startsPerSecond: 1_000 });
    assert.equal(many.kind === "refuse" && many.reason, "queue-full");
});

test("refused requests return spread over the time that their callers wait at most", () => {
    const retryAfters = [0, 0.5, 1].map(random => {
        const decision = decideAdmission(createRequest(), { ...STATE, ahead: 60, random });
        return decision.kind === "refuse" ? decision.retryAfterMs : undefined;
    });
    assert.deepEqual(retryAfters.map(each => Math.round(each ?? 0)), [833, 1_250, 1_667]);
});
