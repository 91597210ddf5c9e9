import { dropHopByHopHeaders } from "@gypsumstage/shared/dropHopByHopHeaders";
import type { IncomingHttpHeaders } from "node:http";
import type { AnswerHeaders } from "../answer/AnswerHeaders.js";

const SET_BY_SENDER: ReadonlySet<string> = new Set(["host", "traceparent", "tracestate"]);
const OWN_PREFIX = "gypsumstage-";

/**
 * Takes the header fields that travel on with a message: those that concern one connection stay behind, and so do
 * the system's own, which a sender must not forge.
 *
 * @param headers - the fields received
 * @returns the fields to send on
 */
export const forwardHeaders = (headers: IncomingHttpHeaders): AnswerHeaders =>
    Object.fromEntries(
        Object.entries(dropHopByHopHeaders(headers))
            .filter(([name]) => !SET_BY_SENDER.has(name) && !name.startsWith(OWN_PREFIX)),
    );
