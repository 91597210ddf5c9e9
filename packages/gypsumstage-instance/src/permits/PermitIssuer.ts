import type { PermitDecision } from "@gypsumstage/steering/traffic/PermitDecision";
import type { PermitQuery } from "./PermitQuery.js";

/** Issues the permits for requests to those rate-limited endpoints of which this instance is the issuer. */
export interface PermitIssuer {
    readonly issue: (query: PermitQuery) => PermitDecision;
}
