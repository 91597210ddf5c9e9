import type { AttemptClassification } from "./AttemptClassification.js";
import { NOT_RUN_STATUSES } from "./NOT_RUN_STATUSES.js";
import type { ResponseFacts } from "./ResponseFacts.js";

const STATUS_INTERNAL_SERVER_ERROR = 500;
const STATUS_OK = 200;
const STATUS_MULTIPLE_CHOICES = 300;

/**
 * Classifies an endpoint's complete response. A response is final only when it carries the id of the request and, if
 * it is a success, the endpoint's stamp. The request counts as not run only when the endpoint states so explicitly or
 * another endpoint has its address; a status alone is not sufficient, nor is a statement that may belong to an earlier request.
 *
 * @param facts - properties of the response
 * @returns the classification of the attempt
 */
export const classifyResponse = (facts: ResponseFacts): AttemptClassification => {
    if (facts.requestMatch === "other") {
        return { kind: "unknown", reason: "answer-of-other-request" };
    }
    const isOfRequest = facts.requestMatch === "this" || facts.isFirstOnConnection;
    if ((facts.isAddressReassigned || facts.isDeclaredNotRun) && !isOfRequest) {
        return { kind: "unknown", reason: "refusal-names-no-request" };
    }
    if (facts.isAddressReassigned) {
        return { kind: "not-run", reason: "other-endpoint" };
    }
    if (facts.isDeclaredNotRun) {
        return { kind: "not-run", reason: `endpoint-refused-${facts.status}` };
    }
    if (facts.requestMatch === "none") {
        return { kind: "unknown", reason: "answer-names-no-request" };
    }
    if (facts.isEncoded) {
        return { kind: "unknown", reason: "answer-encoded" };
    }
    const isSuccess = facts.status >= STATUS_OK && facts.status < STATUS_MULTIPLE_CHOICES;
    if (isSuccess && !facts.isStamped) {
        return { kind: "unknown", reason: "answer-without-stamp" };
    }
    if (NOT_RUN_STATUSES.includes(facts.status)) {
        return { kind: "unknown", reason: `promise-not-given-${facts.status}` };
    }
    return { kind: "final", isError: facts.status >= STATUS_INTERNAL_SERVER_ERROR };
};
