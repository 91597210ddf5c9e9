/** How often a request may run: `safe` ones may be retried, `unsafe` ones and uploads run at most once. */
export type RequestKind = "safe" | "unsafe" | "upload";
