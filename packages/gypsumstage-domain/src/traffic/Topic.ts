/** A kind of objects in the store that instances keep a copy of. */
export type Topic = "policy" | "endpoints" | "evacuations";
