import assert from "node:assert/strict";
import { test } from "node:test";
import type { AnswerFacts } from "../../../traffic/AnswerFacts.js";
import { judgeAnswer } from "../../../traffic/judgeAnswer.js";

const validResponse: AnswerFacts = {
    status: 200,
    namedRequest: "this",
    isStamped: true,
    isNotRun: false,
    isOtherEndpoint: false,
    isEncoded: false,
};

test("a stamped success with the id of the request is final", () => {
    assert.deepEqual(judgeAnswer(validResponse), { kind: "final", isError: false });
});

test("an endpoint's own server error is final, because the endpoint ran the request", () => {
    assert.deepEqual(judgeAnswer({ ...validResponse, status: 500 }), { kind: "final", isError: true });
    assert.deepEqual(judgeAnswer({ ...validResponse, status: 504 }), { kind: "final", isError: true });
});

test("a request counts as not run only by an explicit statement, not by its status", () => {
    for (const status of [408, 421, 429, 503]) {
        assert.equal(judgeAnswer({ ...validResponse, status }).kind, "unknown", String(status));
        assert.equal(
            judgeAnswer({ ...validResponse, status, isNotRun: true }).kind,
            "not-run",
            String(status),
        );
    }
    assert.equal(
        judgeAnswer({ ...validResponse, status: 421, isOtherEndpoint: true, namedRequest: "none" }).kind,
        "not-run",
    );
});

test("a response to another request is unknown for this one, even if it states that it did not run", () => {
    assert.equal(judgeAnswer({ ...validResponse, namedRequest: "other" }).kind, "unknown");
    assert.equal(
        judgeAnswer({ ...validResponse, namedRequest: "other", status: 503, isNotRun: true }).kind,
        "unknown",
    );
});

test("responses without stamp or id, or with a changed body, are never relayed", () => {
    assert.equal(judgeAnswer({ ...validResponse, isStamped: false }).kind, "unknown");
    assert.equal(judgeAnswer({ ...validResponse, isEncoded: true }).kind, "unknown");
    assert.equal(judgeAnswer({ ...validResponse, namedRequest: "none" }).kind, "unknown");
});
