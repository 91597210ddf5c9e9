import { readIntent } from "@gypsumstage/domain/readIntent";
import { invariant } from "@gypsumstage/shared/invariant";
import { parseIni } from "@gypsumstage/shared/parseIni";
import type { DeploymentPlan } from "@gypsumstage/standins/deployment/DeploymentPlan";
import type { UpstreamBehaviour } from "@gypsumstage/standins/upstream/UpstreamBehaviour";
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

const ENDPOINTS: Readonly<Record<string, { readonly count: number; readonly slots: number; }>> = {
    "berth-desk": { count: 14, slots: 5 },
    "agenda": { count: 16, slots: 6 },
};
const OTHER_ENDPOINTS = { count: 12, slots: 3 };

/**
 * Plans the deployment of one of the users at the brief's sizes.
 *
 * @param user - `board` or `cooperative`
 * @param network - second number of the loopback addresses
 * @param behaviour - how the endpoints differ from the default
 * @returns the deployment
 */
export const createUserPlan = (
    user: string,
    network: number,
    behaviour: Partial<UpstreamBehaviour>,
): DeploymentPlan => {
    const file = fileURLToPath(new URL(`../../examples/${user}/intent.ini`, import.meta.url));
    const intent = readFileSync(file, "utf8");
    const read = readIntent(parseIni(intent));
    invariant(read.ok, "process-failed");
    const { dataCentres, places, services } = read.value;
    const countPlaces = (name: string): number => Object.values(places).filter(each => each === name).length;
    const regions = [...new Set(Object.values(dataCentres))].map(region => ({
        name: region,
        dataCentres: Object.keys(dataCentres)
            .filter(name => dataCentres[name] === region)
            .map(name => ({ name, instances: countPlaces(name) })),
    }));
    return {
        network,
        isProxied: false,
        regions,
        services: services.map(name => {
            const { count, slots } = ENDPOINTS[name] ?? OTHER_ENDPOINTS;
            return { name, endpoints: count, behaviour: { slots, ...behaviour } };
        }),
        intent,
    };
};
