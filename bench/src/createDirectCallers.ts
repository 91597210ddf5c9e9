import type { Caller } from "@gypsumstage/standins/caller/Caller";
import { Agent } from "undici";

/**
 * Creates callers that send straight to fixed addresses, as the baselines need it.
 *
 * @param addresses - one address a caller
 * @returns the callers
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
                    tries: 1,
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
