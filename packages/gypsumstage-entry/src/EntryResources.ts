import type { EntryContext } from "./EntryContext.js";

/** What the entry's parts need that outlives them. */
export type EntryResources = Pick<
    EntryContext,
    "cfg" | "log" | "platform" | "dispatcher" | "tracer" | "viewAtMs" | "isLeaving"
>;
