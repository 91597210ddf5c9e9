import type { EndpointLoad } from "@gypsumstage/steering/traffic/EndpointLoad";
import type { ResponseFacts } from "@gypsumstage/steering/traffic/ResponseFacts";
import type { IncomingHttpHeaders } from "node:http";
import type { UpstreamRequest } from "./upstream/UpstreamRequest.js";

/** Translates between the platform's header fields and the values that they carry. */
export interface HeaderCodec {
    /** Reads a caller's request headers. */
    readonly readRequest: (headers: IncomingHttpHeaders) => {
        /** Identifies this attempt of the caller; undefined when the header is absent. */
        readonly requestId: string | undefined;
        /** Identifies the object that the request concerns; undefined when the header is absent. */
        readonly objectKey: string | undefined;
        /** Time until the caller's deadline, in milliseconds; undefined when it is absent or not a number. */
        readonly remainingMs: number | undefined;
        /** Key of the caller's workspace; undefined when the header is absent. It must not be passed on or logged. */
        readonly key: string | undefined;
    };
    /**
     * Returns a caller's headers as an endpoint may see them: without the key, and with the name of the workspace, undefined
     * for none, in place of whatever the caller stated.
     */
    readonly replaceCredentials: (
        headers: UpstreamRequest["headers"],
        workspaceName: string | undefined,
    ) => UpstreamRequest["headers"];
    /** Returns the headers that are added to a request to an endpoint; `remainingMs` is the time left. */
    readonly upstreamHeaders: (endpointId: string, remainingMs: number) => Readonly<Record<string, string>>;
    /** Returns the headers that are added to a request to another instance; `remainingMs` is the time left. */
    readonly relayHeaders: (remainingMs: number) => Readonly<Record<string, string>>;
    /** Reads the status and headers of an endpoint's response to the request `requestId`. */
    readonly readResponse: (
        status: number,
        headers: IncomingHttpHeaders,
        requestId: string | undefined,
    ) => Omit<ResponseFacts, "isFirstOnConnection">;
    /**
     * Reads the rate limit that an endpoint states in a response: requests per second from all instances together;
     * undefined when the header is absent or malformed.
     */
    readonly readRateLimit: (headers: IncomingHttpHeaders) => number | undefined;
    /** Reads the load that an endpoint states in a response; undefined when the header is absent or malformed. */
    readonly readLoad: (headers: IncomingHttpHeaders) => EndpointLoad | undefined;
    /** Returns whether an endpoint says in a response that it is leaving. */
    readonly readLeaving: (headers: IncomingHttpHeaders) => boolean;
    /**
     * Reads for how long an endpoint that turned a request away wants no more of this instance, in milliseconds; undefined
     * when it turned none away or states no time.
     */
    readonly readPauseMs: (status: number, headers: IncomingHttpHeaders) => number | undefined;
    /** Reads the response to a health check. */
    readonly readHealthCheck: (status: number, headers: IncomingHttpHeaders) => {
        readonly isHealthy: boolean;
        /** Id of the endpoint that responded; undefined when the header is absent. */
        readonly endpointId: string | undefined;
        /** How much longer the endpoint is cold, in milliseconds; 0 when the header is absent or malformed. */
        readonly coldMs: number;
    };
}
