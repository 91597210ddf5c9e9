import type { ServerResponse } from "node:http";
import type { TakeBytes } from "../read/TakeBytes.js";
import type { AnswerHeaders } from "./AnswerHeaders.js";

/** How a reply is written. */
export interface ReplyWriter {
    readonly res: ServerResponse;
    /** Header fields beside those of the answer. */
    readonly headers: AnswerHeaders;
    /** Waits until bytes may be sent; undefined when the reply crosses no link. */
    readonly take: TakeBytes | undefined;
}
