import type { UpstreamBehaviour } from "../upstream/UpstreamBehaviour.js";

/** Sizes of a deployment to start. */
export interface DeploymentPlan {
    /** Second number of the loopback addresses, so that deployments do not share addresses. */
    readonly network: number;
    readonly regions: readonly RegionPlan[];
    readonly services: readonly ServicePlan[];
    /** The intent to apply, in its INI form. */
    readonly intent: string;
    /** Whether a fault-injecting proxy stands before the roles and the platform. */
    readonly isProxied: boolean;
}

interface RegionPlan {
    readonly name: string;
    readonly dataCentres: readonly { readonly name: string; readonly instances: number; }[];
}

interface ServicePlan {
    readonly name: string;
    /** Endpoints in all; they are spread over the data centres in turn. */
    readonly endpoints: number;
    readonly behaviour: Partial<UpstreamBehaviour>;
}
