import type { ReplyLabels } from "../ReplyLabels.js";
import type { Reply } from "./Reply.js";

/** A reply with the metric labels of its request. */
export interface LabelledReply {
    readonly reply: Reply;
    readonly labels: ReplyLabels;
}
