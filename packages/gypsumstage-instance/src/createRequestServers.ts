import { createRequestServer } from "./createRequestServer.js";
import type { InstancePhase } from "./InstancePhase.js";
import { createRequestHandler } from "./request/createRequestHandler.js";
import type { RequestContext } from "./request/RequestContext.js";
import type { RequestHandler } from "./request/RequestHandler.js";
import type { RequestServers } from "./RequestServers.js";

/**
 * Creates the servers for callers' requests and for those that other instances pass on.
 *
 * @param ctx - what all requests share
 * @param phase - returns the current phase of the instance
 * @returns the servers, not yet listening
 */
export const createRequestServers = (ctx: RequestContext, phase: () => InstancePhase): RequestServers => {
    let inFlight = 0;
    const countInFlight = (handle: RequestHandler): RequestHandler => async (req, res) => {
        inFlight += 1;
        const delivered = new Promise<void>(resolve => res.once("close", resolve));
        try {
            await handle(req, res);
            await delivered;
        }
        finally {
            inFlight -= 1;
        }
    };
    const callers = createRequestServer(countInFlight(createRequestHandler(ctx, phase, "caller")));
    const relay = createRequestServer(countInFlight(createRequestHandler(ctx, phase, "instance")));
    return {
        callers: callers.server,
        relay: relay.server,
        inFlight: () => inFlight,
        resetUndelivered: () => {
            callers.deliveries.resetUndelivered();
            relay.deliveries.resetUndelivered();
        },
        applyLimits: limits => {
            callers.applyLimits(limits);
            relay.applyLimits(limits);
        },
    };
};
