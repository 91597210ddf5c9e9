import { invariant } from "@gypsumstage/shared/invariant";
import { waitUntilServing } from "../demo/waitUntilServing.js";
import { applyAndWait } from "./applyAndWait.js";
import type { Deployment } from "./Deployment.js";
import type { DeploymentPlan } from "./DeploymentPlan.js";
import { readStatus } from "./readStatus.js";
import { startDeployment } from "./startDeployment.js";

const IN_FORCE_TIMEOUT_SECONDS = 30;

/**
 * Starts a deployment, applies its intent and waits until every instance is serving.
 *
 * @param plan - the deployment to start
 * @returns the running deployment
 * @throws Error if the deployment is not serving in time; the deployment has then been stopped
 */
export const startServing = async (plan: DeploymentPlan): Promise<Deployment> => {
    const deployment = await startDeployment(plan);
    const [first] = deployment.instances;
    invariant(first, "process-failed");
    const inForce = await applyAndWait(first.steer, plan.intent, IN_FORCE_TIMEOUT_SECONDS);
    const isServing = inForce !== undefined && await waitUntilServing(deployment);
    if (!isServing) {
        const status = JSON.stringify(await readStatus(first.steer));
        await deployment.stop();
        throw new Error(
            inForce === undefined
                ? `the intent did not come into force in time: ${status}`
                : `not all instances are serving: ${status}`,
        );
    }
    return deployment;
};
