import type { Intent } from "@gypsumstage/domain/Intent";
import type { Budget } from "./Budget.js";
import { listRegionPlaces } from "./listRegionPlaces.js";

const FLOOR_FRACTION = 0.5;

const createBudget = (resource: string, cap: number, places: number, isIntegral: boolean): Budget => {
    const evenFloor = cap * FLOOR_FRACTION / Math.max(1, places);
    const floor = isIntegral ? Math.max(1, Math.floor(evenFloor)) : evenFloor;
    return { resource, cap, floor, pool: Math.max(0, cap - floor * places), isIntegral };
};

/**
 * Lists the budgets that the instances of a region share: its outgoing links and its caps of classes.
 *
 * @param intent - the intent in force
 * @param region - name of the region
 * @returns one budget per resource
 */
export const listBudgets = (intent: Intent, region: string): readonly Budget[] => {
    const places = listRegionPlaces(intent, region).length;
    const links = Object.entries(intent.links)
        .filter(([name]) => name.startsWith(`${region}>`))
        .map(([name, cap]) => createBudget(`link:${name}`, cap, places, false));
    const caps = Object.entries(intent.caps)
        .filter(([name]) => name.endsWith(`@${region}`))
        .map(([name, cap]) => createBudget(`class:${name}`, cap, places, true));
    return [...links, ...caps];
};
