import assert from "node:assert/strict";
import { test } from "node:test";
import { classifyResponse } from "../../../traffic/classifyResponse.js";
import type { ResponseFacts } from "../../../traffic/ResponseFacts.js";

const validResponse: ResponseFacts = {
    status: 200,
    requestMatch: "this",
    isFirstOnConnection: false,
    isStamped: true,
    isDeclaredNotRun: false,
    isAddressReassigned: false,
    isEncoded: false,
};

test("a stamped success with the id of the request is final", () => {
    assert.deepEqual(classifyResponse(validResponse), { kind: "final", isError: false });
});

test("an endpoint's own server error is final, because the endpoint ran the request", () => {
    assert.deepEqual(classifyResponse({ ...validResponse, status: 500 }), { kind: "final", isError: true });
    assert.deepEqual(classifyResponse({ ...validResponse, status: 504 }), { kind: "final", isError: true });
});

test("a request counts as not run only by an explicit statement or a reassigned address, not by its status", () => {
    for (const status of [408, 421, 429, 503]) {
        assert.equal(classifyResponse({ ...validResponse, status }).kind, "unknown", String(status));
        assert.equal(
            classifyResponse({ ...validResponse, status, isDeclaredNotRun: true }).kind,
            "not-run",
            String(status),
        );
    }
    assert.equal(
        classifyResponse({
            ...validResponse,
            status: 421,
            isAddressReassigned: true,
            requestMatch: "none",
            isFirstOnConnection: true,
        }).kind,
        "not-run",
    );
});

test("a response to another request is unknown for this one, even if it states that it did not run", () => {
    assert.equal(classifyResponse({ ...validResponse, requestMatch: "other" }).kind, "unknown");
    assert.equal(
        classifyResponse({ ...validResponse, requestMatch: "other", status: 503, isDeclaredNotRun: true })
            .kind,
        "unknown",
    );
});

test("responses without stamp or id, or with a changed body, are never relayed", () => {
    assert.equal(classifyResponse({ ...validResponse, isStamped: false }).kind, "unknown");
    assert.equal(classifyResponse({ ...validResponse, isEncoded: true }).kind, "unknown");
    assert.equal(classifyResponse({ ...validResponse, requestMatch: "none" }).kind, "unknown");
});

test("a refusal without an id is believed only as the first response on its connection", () => {
    for (
        const refusal of [{ status: 503, isDeclaredNotRun: true }, { status: 421, isAddressReassigned: true }]
    ) {
        const facts: ResponseFacts = { ...validResponse, ...refusal, requestMatch: "none" };
        assert.equal(classifyResponse(facts).kind, "unknown");
        assert.equal(classifyResponse({ ...facts, isFirstOnConnection: true }).kind, "not-run");
    }
});
