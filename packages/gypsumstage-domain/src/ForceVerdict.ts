/** Whether a configuration is in force. What is not known is never taken for "in force". */
export type ForceVerdict = "in-force" | "behind" | "unknown";
