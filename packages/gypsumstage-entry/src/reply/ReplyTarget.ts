import type { ServerResponse } from "node:http";
import type { AcquireBytes } from "../read/AcquireBytes.js";
import type { HeaderFields } from "./HeaderFields.js";

/** The server response that a reply is written to, with the options that apply to every kind of reply. */
export interface ReplyTarget {
    readonly res: ServerResponse;
    /** Header fields to send in addition to those of the reply. */
    readonly headers: HeaderFields;
    /** Waits until bytes may be sent; undefined when the reply is not sent over a link between regions. */
    readonly acquireBytes: AcquireBytes | undefined;
}
