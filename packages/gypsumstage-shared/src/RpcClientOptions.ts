/** Settings of a client for RPC calls. */
export interface RpcClientOptions {
    /** Local IP address of the connections; chosen by the operating system if undefined. */
    readonly sourceAddress?: string | undefined;
    /**
     * Time without a response, in milliseconds, after which a call is sent again on a new connection. Only for methods that may run
     * twice; if undefined, calls are sent once.
     */
    readonly resendAfterMs?: number | undefined;
    /** Called with the address and the reason when a call is sent again. */
    readonly onResend?: ((address: string, reason: string) => void) | undefined;
}
