import type { UpstreamBehaviour } from "../upstream/UpstreamBehaviour.js";

/** Regions, services and intent of a deployment to start. */
export interface DeploymentPlan {
    /** Second octet of the loopback addresses; deployments with different ones share no address. */
    readonly network: number;
    readonly regions: readonly RegionPlan[];
    readonly services: readonly ServicePlan[];
    /** The intent to apply, as INI text. */
    readonly intent: string;
    /** Whether a fault-injecting proxy runs in front of the roles and the platform. */
    readonly isProxied: boolean;
}

interface RegionPlan {
    readonly name: string;
    /** Data centres of the region, each with its number of instances. */
    readonly dataCentres: readonly { readonly name: string; readonly instances: number; }[];
}

interface ServicePlan {
    readonly name: string;
    /** Number of endpoints of the service; they are assigned to the data centres in turn. */
    readonly endpoints: number;
    readonly behaviour: Partial<UpstreamBehaviour>;
}
