import type { Workspace } from "@gypsumstage/domain/traffic/Workspace";
import assert from "node:assert/strict";
import { test } from "node:test";
import { applyWorkspace } from "../../../traffic/applyWorkspace.js";
import { authenticateRequest } from "../../../traffic/authenticateRequest.js";
import { createRoute } from "./createRoute.js";

const WORKSPACE: Workspace = {
    name: "port",
    keyDigests: ["d-1"],
    priority: undefined,
    requestsPerSecond: 0,
    burst: 0,
    permittedRegions: [],
};
const BY_KEY = new Map([["d-1", WORKSPACE]]);

test("a request needs a known key only where there are workspaces and the route is not public", () => {
    assert.deepEqual(authenticateRequest({}, new Map(), undefined), { kind: "anonymous" });
    assert.deepEqual(authenticateRequest({ isPublic: true }, BY_KEY, undefined), { kind: "anonymous" });
    assert.deepEqual(authenticateRequest({}, BY_KEY, undefined), { kind: "unknown-key" });
    assert.deepEqual(authenticateRequest({}, BY_KEY, "d-2"), { kind: "unknown-key" });
    assert.deepEqual(authenticateRequest({}, BY_KEY, "d-1"), { kind: "workspace", workspace: WORKSPACE });
});

test("the regions of route and workspace both bind, and none is permitted when they have none in common", () => {
    const regionsFor = (route: readonly string[], workspace: readonly string[]): unknown =>
        applyWorkspace({ ...createRoute(), permittedRegions: route }, {
            ...WORKSPACE,
            permittedRegions: workspace,
        })?.permittedRegions;
    assert.deepEqual(regionsFor([], []), []);
    assert.deepEqual(regionsFor(["kutch"], []), ["kutch"]);
    assert.deepEqual(regionsFor([], ["kutch"]), ["kutch"]);
    assert.deepEqual(regionsFor(["kutch", "bharuch"], ["bharuch"]), ["bharuch"]);
    assert.equal(regionsFor(["kutch"], ["bharuch"]), undefined);
});

test("the priority of a workspace goes before that of the route", () => {
    const route = { ...createRoute(), priority: 2 };
    assert.equal(applyWorkspace(route, { ...WORKSPACE, priority: 0 })?.priority, 0);
    assert.equal(applyWorkspace(route, WORKSPACE)?.priority, 2);
});
