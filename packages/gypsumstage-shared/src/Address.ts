/** An IP address and port, written `IP:port`. */
export interface Address {
    readonly host: string;
    readonly port: number;
}
