/** What the proxy does with data: forwards it, discards it silently, or resets its connection. */
export type ProxyAction = "pass" | "drop" | "reset";
