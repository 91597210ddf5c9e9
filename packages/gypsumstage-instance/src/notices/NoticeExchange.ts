import type { Notice } from "./Notice.js";

/** Spreads notices to all instances. */
export interface NoticeExchange {
    /** Returns all current notices of this instance, for one that has started or was cut off. */
    readonly readAll: () => readonly Notice[];
    readonly stop: () => void;
}
