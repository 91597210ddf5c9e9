import type { TopicRecord } from "./TopicRecord.js";

/** One change of a topic; changes are applied in the order of the store's revisions. */
export type TopicChange =
    | { readonly kind: "put"; readonly record: TopicRecord; }
    | { readonly kind: "removed"; readonly name: string; };
