import type { DeploymentPlan } from "./DeploymentPlan.js";
import type { PlannedInstance } from "./PlannedInstance.js";

/**
 * Assigns loopback addresses to the instances of a deployment.
 *
 * @param plan - regions, data centres and number of instances
 * @returns instances in the order of their data centres
 */
export const planInstances = (plan: DeploymentPlan): readonly PlannedInstance[] => {
    const dataCentres = plan.regions.flatMap(region =>
        region.dataCentres.map(each => ({ ...each, region: region.name }))
    );
    return dataCentres.flatMap((dataCentre, index) =>
        Array.from({ length: dataCentre.instances }, (_none, position) => {
            const host = `127.${plan.network}.${index + 1}.${position + 1}`;
            return {
                name: `${dataCentre.name}-${position + 1}`,
                launch: "l1",
                dataCentre: dataCentre.name,
                region: dataCentre.region,
                host,
                entry: `${host}:8080`,
                peer: `${host}:8081`,
                metrics: `${host}:8082`,
                lookup: `${host}:8053`,
                steer: `${host}:8090`,
            };
        })
    );
};
