import type { Deployment } from "../deployment/Deployment.js";
import type { Caller } from "./Caller.js";
import { createCaller } from "./createCaller.js";

/**
 * Creates a caller beside each instance: it asks the look-up process of that instance first.
 *
 * @param deployment - the deployment
 * @returns the callers, in the order of the instances
 */
export const createCallers = (deployment: Deployment): readonly Caller[] => {
    const lookups = deployment.instances.map(instance => instance.lookup);
    return lookups.map((_lookup, index) =>
        createCaller([...lookups.slice(index), ...lookups.slice(0, index)])
    );
};
