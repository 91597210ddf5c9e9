import type { FastifyInstance } from "fastify";

/** A stand-in for a peer of the measured steer process. */
export interface ControlPeer {
    readonly app: FastifyInstance;
    /** Returns the bytes of all request and response bodies so far. */
    readonly transferredBytes: () => number;
}
