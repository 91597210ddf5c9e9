import { parseIntent } from "@gypsumstage/domain/parseIntent";
import { invariant } from "@gypsumstage/shared/invariant";
import { parseIni } from "@gypsumstage/shared/parseIni";
import type { DeploymentPlan } from "@gypsumstage/standins/deployment/DeploymentPlan";
import type { UpstreamBehaviour } from "@gypsumstage/standins/upstream/UpstreamBehaviour";
import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";

const ENDPOINTS_BY_SERVICE: Readonly<Record<string, { readonly count: number; readonly slots: number; }>> = {
    "berth-desk": { count: 14, slots: 5 },
    "agenda": { count: 16, slots: 6 },
};
const DEFAULT_ENDPOINTS = { count: 12, slots: 3 };

/**
 * Creates the deployment plan of one of the users, at the sizes that the users gave.
 *
 * @param user - `board` or `cooperative`
 * @param network - second octet of the loopback addresses; deployments that run at the same time need different ones
 * @param behaviour - overrides of the endpoints' default behaviour, for all services
 * @returns the plan, with the intent of the user's example
 */
export const createUserPlan = (
    user: string,
    network: number,
    behaviour: Partial<UpstreamBehaviour>,
): DeploymentPlan => {
    const intentPath = fileURLToPath(new URL(`../../examples/${user}/intent.ini`, import.meta.url));
    const intent = readFileSync(intentPath, "utf8");
    const parsed = parseIntent(parseIni(intent));
    invariant(parsed.ok, "process-failed");
    const { dataCentres, places, services } = parsed.value;
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
            const { count, slots } = ENDPOINTS_BY_SERVICE[name] ?? DEFAULT_ENDPOINTS;
            return { name, endpoints: count, behaviour: { slots, ...behaviour } };
        }),
        intent,
    };
};
