import type { Notice } from "../notices/Notice.js";

/** Parameters of the JSON-RPC notification `peer.notices`. */
export interface NoticeMessage {
    readonly notices: readonly Notice[];
}
