import assert from "node:assert/strict";
import { test } from "node:test";
import { matchRoute } from "../../../traffic/matchRoute.js";
import { createRoute } from "./createRoute.js";

const routes = [
    createRoute({ name: "short", pathPrefix: "/a/" }),
    createRoute({ name: "long", pathPrefix: "/a/b/" }),
    createRoute({ name: "other", host: "ledger.example", pathPrefix: "/a/b/c/" }),
];

test("the route of the host with the longest matching prefix is chosen", () => {
    assert.equal(matchRoute(routes, "desk.example", "/a/b/c/d?x=1")?.name, "long");
    assert.equal(matchRoute(routes, "desk.example", "/a/bb")?.name, "short");
    assert.equal(matchRoute(routes, "ledger.example", "/a/b/c/d")?.name, "other");
});

test("requests of an unknown host or path match no route", () => {
    assert.equal(matchRoute(routes, "nobody.example", "/a/b/"), undefined);
    assert.equal(matchRoute(routes, "desk.example", "/ab/"), undefined);
});
