/** A request as it is sent to an endpoint. */
export interface UpstreamRequest {
    readonly method: string;
    /** Path and query, unchanged. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string | readonly string[]>>;
    readonly body: Buffer | undefined;
}
