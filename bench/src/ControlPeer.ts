import type { FastifyInstance } from "fastify";

/** A peer of the measured process. */
export interface ControlPeer {
    readonly app: FastifyInstance;
    /** Bytes of all calls and answers so far. */
    readonly bytes: () => number;
}
