/** Kind of objects in the store of which each instance keeps a copy. */
export type Topic = "policy" | "endpoints" | "evacuations";
