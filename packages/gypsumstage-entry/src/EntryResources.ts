import type { EntryContext } from "./EntryContext.js";

/** Settings, connections and callbacks from which the entry context is created; they outlive it. */
export type EntryResources = Pick<
    EntryContext,
    "cfg" | "log" | "platform" | "dispatcher" | "tracer" | "viewAtMs" | "isLeaving"
>;
