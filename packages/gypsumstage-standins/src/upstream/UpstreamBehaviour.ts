/** How a stand-in endpoint behaves. */
export interface UpstreamBehaviour {
    readonly slots: number;
    /** Service time of a short request, in milliseconds. */
    readonly shortMs: number;
    /** Service time of a long request after its body has arrived, in milliseconds. */
    readonly longMs: number;
    /** Service times are multiplied by this. */
    readonly slowFactor: number;
    /** Part of requests whose answer breaks off in the middle, from 0 to 1. */
    readonly truncatedFraction: number;
    /** Part of requests that run, but whose connection breaks before the answer, from 0 to 1. */
    readonly lostFraction: number;
    /** Every request is answered with an immediate break of the connection. */
    readonly isFailing: boolean;
    /** The endpoint signals that it is leaving. */
    readonly isDraining: boolean;
    /** Bytes of an answer's body beyond its description. */
    readonly paddingBytes: number;
}
