/**
 * How often a request may run: `safe` ones and downloads, whose responses are large, may be retried; `unsafe` ones and uploads
 * run at most once.
 */
export type RequestKind = "safe" | "unsafe" | "upload" | "download";
