import type { Reply } from "../request/Reply.js";
import { RELAY_HEADERS } from "./RELAY_HEADERS.js";

const toHeaderText = (text: string): string => text.replace(/[^\x20-\x7e]/g, "?");

/**
 * Creates the header fields by which the instance that passed a request on reads the reply back.
 *
 * @param reply - the reply
 * @returns the fields, in addition to those of a reply to a caller
 */
export const toRelayHeaders = (reply: Reply): Readonly<Record<string, string>> => ({
    [RELAY_HEADERS.replyKind]: reply.kind,
    ...("reason" in reply ? { [RELAY_HEADERS.reason]: toHeaderText(reply.reason) } : {}),
    ...(reply.kind === "relayed" && !reply.isEndStated ? { [RELAY_HEADERS.isEndStated]: "0" } : {}),
    ...(reply.kind === "refused" ? { [RELAY_HEADERS.retryAfterMs]: String(reply.retryAfterMs) } : {}),
});
