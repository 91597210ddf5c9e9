/** One address that the proxy stands in front of. */
export interface ProxyRoute {
    /** Address that others use, `IP:port`. */
    readonly listenAddress: string;
    /** Address that the process listens on. */
    readonly targetAddress: string;
}
