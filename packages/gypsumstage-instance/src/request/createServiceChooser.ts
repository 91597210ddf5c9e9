import { chooseTarget } from "@gypsumstage/steering/traffic/chooseTarget";
import type { SplitState } from "@gypsumstage/steering/traffic/SplitState";
import type { ServiceChooser } from "./ServiceChooser.js";

const EMPTY: SplitState = { requestsByService: {} };

/**
 * Creates the chooser of services. For each route with several services it keeps how requests were split so
 * far, and starts again when the weights change.
 *
 * @returns the chooser, which keeps its state in memory only
 */
export const createServiceChooser = (): ServiceChooser => {
    const splits = new Map<string, { readonly weights: string; readonly state: SplitState; }>();
    return (route, key) => {
        const weights = JSON.stringify(route.targets);
        const previous = splits.get(route.name);
        const splitState = previous?.weights === weights ? previous.state : EMPTY;
        const { service, state } = chooseTarget(route.targets, splitState, key);
        if (route.targets.length > 1) {
            splits.set(route.name, { weights, state });
        }
        return service;
    };
};
