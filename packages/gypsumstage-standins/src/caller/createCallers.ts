import type { Deployment } from "../deployment/Deployment.js";
import type { Caller } from "./Caller.js";
import { createCaller } from "./createCaller.js";

/**
 * Creates one caller for each instance; it sends lookup requests to that instance first, then to the others.
 *
 * @param deployment - the running deployment
 * @returns callers in the order of the instances; `stop` closes the connections of one
 */
export const createCallers = (deployment: Deployment): readonly Caller[] => {
    const lookups = deployment.instances.map(instance => instance.lookup);
    return lookups.map((_lookup, index) =>
        createCaller([...lookups.slice(index), ...lookups.slice(0, index)])
    );
};
