import { dropHopByHopHeaders } from "@gypsumstage/shared/dropHopByHopHeaders";
import type { IncomingHttpHeaders } from "node:http";
import type { HeaderFields } from "../reply/HeaderFields.js";

const SET_PER_HOP: ReadonlySet<string> = new Set(["host", "traceparent", "tracestate"]);
const RESERVED_PREFIX = "gypsumstage-";

/**
 * Selects the header fields of a message that are forwarded. Hop-by-hop fields are dropped, and so are fields with the
 * `gypsumstage-` prefix, so that a sender cannot forge them.
 *
 * @param headers - the received fields, with names in lower case
 * @returns the fields to forward
 */
export const selectForwardedHeaders = (headers: IncomingHttpHeaders): HeaderFields =>
    Object.fromEntries(
        Object.entries(dropHopByHopHeaders(headers))
            .filter(([name]) => !SET_PER_HOP.has(name) && !name.startsWith(RESERVED_PREFIX)),
    );
