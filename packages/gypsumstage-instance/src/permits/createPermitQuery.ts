import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import type { Log } from "@gypsumstage/shared/Log";
import type { RpcClient } from "@gypsumstage/shared/RpcClient";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { PermitDecision } from "@gypsumstage/steering/traffic/PermitDecision";
import type { PermitIssuer } from "./PermitIssuer.js";
import type { PermitQuery } from "./PermitQuery.js";

type Issuer = Pick<PeerReport, "name" | "internalAddress">;

/** Wait after a query that failed: about the time until a dead issuer is replaced in a small fleet. */
const FAILED_RETRY_AFTER_MS = 1_000;

/**
 * Creates the function that requests permits for an endpoint from their issuer, which may be this instance.
 *
 * @param ownName - name of this instance
 * @param findIssuer - returns the issuer for an endpoint; undefined when there is none
 * @param ownIssuer - the issuer of this instance
 * @param rpc - client for RPC calls to other instances
 * @param log - receives denials and failed queries
 * @returns the function; its promise never rejects
 */
export const createPermitQuery = (
    ownName: string,
    findIssuer: (endpoint: UpstreamEndpoint) => Issuer | undefined,
    ownIssuer: PermitIssuer,
    rpc: Pick<RpcClient, "call">,
    log: Log,
): (endpoint: UpstreamEndpoint, ratePerSecond: number) => Promise<PermitDecision> => {
    const ask = async (issuer: Issuer, query: PermitQuery): Promise<PermitDecision> => {
        const res = await rpc.call<PermitDecision>(issuer.internalAddress, "permit.issue", query);
        if (res.ok) {
            return res.value;
        }
        const { endpointId } = query;
        log("warn", "permit-query-failed", { endpoint: endpointId, issuer: issuer.name, error: res.error });
        return { kind: "denied", retryAfterMs: FAILED_RETRY_AFTER_MS };
    };
    return async (endpoint, ratePerSecond) => {
        const query: PermitQuery = { endpointId: endpoint.id, holder: ownName, ratePerSecond };
        const issuer = findIssuer(endpoint);
        const decision = issuer === undefined || issuer.name === ownName
            ? ownIssuer.issue(query)
            : await ask(issuer, query);
        if (decision.kind === "denied") {
            const { retryAfterMs } = decision;
            log("info", "permit-denied", {
                endpoint: endpoint.id,
                issuer: issuer?.name,
                ratePerSecond,
                retryAfterMs: Math.round(retryAfterMs),
            });
        }
        return decision;
    };
};
