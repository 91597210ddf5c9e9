/** What the proxy does with a connection: pass it, stop forwarding without a sign, or reset it. */
export type ProxyAction = "pass" | "drop" | "reset";
