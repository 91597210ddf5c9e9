/** An address that the proxy listens on, with the address that it forwards to. */
export interface ProxyRoute {
    /** Address that clients connect to, `IP:port`. */
    readonly listenAddress: string;
    /** Address that the process behind the proxy listens on, `IP:port`. */
    readonly targetAddress: string;
}
