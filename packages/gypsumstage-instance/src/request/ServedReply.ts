import type { ReplyLabels } from "../ReplyLabels.js";
import type { Reply } from "./Reply.js";

/** A reply, and what the request was. */
export interface ServedReply {
    readonly reply: Reply;
    readonly labels: ReplyLabels;
}
