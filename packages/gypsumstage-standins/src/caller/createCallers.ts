import type { Deployment } from "../deployment/Deployment.js";
import type { Caller } from "./Caller.js";
import { createCaller } from "./createCaller.js";

/**
 * Creates one caller per instance. A caller sends its lookup requests to its own instance first, then to the others.
 *
 * @param deployment - the running deployment
 * @returns the callers, in the order of the instances; each must be stopped
 */
export const createCallers = (deployment: Deployment): readonly Caller[] => {
    const lookups = deployment.instances.map(instance => instance.lookup);
    return lookups.map((_lookup, index) =>
        createCaller([...lookups.slice(index), ...lookups.slice(0, index)])
    );
};
