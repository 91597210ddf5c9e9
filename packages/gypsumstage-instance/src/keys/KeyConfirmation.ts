import type { ConfirmQuery } from "./ConfirmQuery.js";
import type { ConfirmReply } from "./ConfirmReply.js";
import type { KeyTrust } from "./KeyTrust.js";

/** Handle on the confirmations of this instance's copy of the configuration. */
export interface KeyConfirmation {
    readonly trust: KeyTrust;
    /** Answers another instance that asks for a confirmation. */
    readonly answer: (query: ConfirmQuery) => Promise<ConfirmReply>;
    /** Whether keys are revoked strictly but cannot be confirmed now. */
    readonly isUnconfirmed: () => boolean;
    /** Age of the latest confirmation, in milliseconds; undefined when there is none or none is needed. */
    readonly ageMs: () => number | undefined;
    readonly stop: () => void;
}
