import type { InstanceStatus } from "@gypsumstage/domain/InstanceStatus";
import { invariant } from "@gypsumstage/shared/invariant";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { sleep } from "@gypsumstage/shared/sleep";
import type { Deployment } from "../deployment/Deployment.js";
import { readStatus } from "../deployment/readStatus.js";

const POLL_INTERVAL_MS = 200;
const TIMEOUT_MS = 30_000;

/**
 * Waits until every instance has the accepted configuration in force and reports free slots.
 *
 * @param deployment - the running deployment
 * @returns true when all instances are serving, false after 30 s
 */
export const waitUntilServing = async (deployment: Deployment): Promise<boolean> => {
    const deadlineAtMs = monotonicNow() + TIMEOUT_MS;
    const [first] = deployment.instances;
    invariant(first, "process-failed");
    while (monotonicNow() < deadlineAtMs) {
        const status = await readStatus(first.steer);
        const instances = status?.dataCentres.flatMap(dataCentre => dataCentre.instances) ?? [];
        const isServing = (instance: InstanceStatus): boolean =>
            instance.verdict === "in-force" && Object.values(instance.freeSlots).some(count => count > 0);
        if (instances.length === deployment.instances.length && instances.every(isServing)) {
            return true;
        }
        await sleep(POLL_INTERVAL_MS);
    }
    return false;
};
