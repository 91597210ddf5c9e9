import type { Intent } from "@gypsumstage/domain/Intent";

/**
 * Lists the declared places of a region.
 *
 * @param intent - the intent in force
 * @param region - name of the region
 * @returns names of the places
 */
export const listRegionPlaces = (intent: Intent, region: string): readonly string[] =>
    Object.entries(intent.places)
        .filter(([, dataCentre]) => intent.dataCentres[dataCentre] === region)
        .map(([name]) => name);
