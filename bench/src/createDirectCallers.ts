import type { Caller } from "@gypsumstage/standins/caller/Caller";
import { Agent } from "undici";

/**
 * Creates callers for the baselines: each sends its requests to a fixed address, without a lookup. They report every
 * response as served, whatever its status.
 *
 * @param addresses - one address per caller, as `host:port`
 * @returns the callers, in the order of the addresses; the owner must stop them
 */
export const createDirectCallers = (addresses: readonly string[]): readonly Caller[] =>
    addresses.map(address => {
        const agent = new Agent({ pipelining: 1 });
        return {
            send: async req => {
                const res = await agent.request({
                    origin: `http://${address}`,
                    path: req.path,
                    method: req.method,
                    headers: { "request-id": req.id },
                    ...(req.body === undefined ? {} : { body: req.body }),
                });
                const body = await res.body.text();
                return {
                    outcome: "served",
                    status: res.statusCode,
                    body,
                    headers: res.headers,
                    latencyMs: 0,
                    attempts: 1,
                    key: undefined,
                };
            },
            lookup: () =>
                Promise.resolve({
                    service: "",
                    instances: [],
                    home: undefined,
                    ttlSeconds: 0,
                    generation: 0,
                }),
            stop: () => agent.destroy(),
        };
    });
