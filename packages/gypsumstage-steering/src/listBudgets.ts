import type { Intent } from "@gypsumstage/domain/Intent";
import type { Budget } from "./Budget.js";
import { listRegionPlaces } from "./listRegionPlaces.js";

const FLOOR_PART = 0.5;

const create = (resource: string, cap: number, places: number, isWhole: boolean): Budget => {
    const even = cap * FLOOR_PART / Math.max(1, places);
    const floor = isWhole ? Math.max(1, Math.floor(even)) : even;
    return { resource, cap, floor, pool: Math.max(0, cap - floor * places), isWhole };
};

/**
 * Lists the resources that the instances of a region divide: the links out of it, and its caps of classes.
 *
 * @param intent - the intent in force
 * @param region - the region
 * @returns one budget a resource
 */
export const listBudgets = (intent: Intent, region: string): readonly Budget[] => {
    const places = listRegionPlaces(intent, region).length;
    const links = Object.entries(intent.links)
        .filter(([name]) => name.startsWith(`${region}>`))
        .map(([name, cap]) => create(`link:${name}`, cap, places, false));
    const caps = Object.entries(intent.caps)
        .filter(([name]) => name.endsWith(`@${region}`))
        .map(([name, cap]) => create(`class:${name}`, cap, places, true));
    return [...links, ...caps];
};
