import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";
import type { LoadFigure } from "./LoadFigure.js";
import type { SideLoads } from "./SideLoads.js";

/** Age up to which a figure counts, shorter than a peak takes to move. */
const MAX_AGE_MS = 5_000;

/**
 * Computes the load of a service's endpoints in a region and in the other regions.
 *
 * @param endpoints - the endpoints of the service
 * @param region - the region
 * @param figure - returns the newest load of an endpoint
 * @param nowMs - current monotonic time
 * @returns the loads; undefined when no endpoint of one of the sides stated its load lately
 */
export const computeSideLoads = (
    endpoints: readonly UpstreamEndpoint[],
    region: string,
    figure: (id: string) => LoadFigure | undefined,
    nowMs: number,
): SideLoads | undefined => {
    const sumLoad = (isLocal: boolean): number => {
        const loads = endpoints
            .filter(endpoint => (endpoint.region === region) === isLocal)
            .map(({ id }) => figure(id))
            .filter(each => each !== undefined)
            .filter(each => nowMs - each.statedAtMs <= MAX_AGE_MS)
            .map(each => each.load);
        const requests = loads.reduce((sum, load) => sum + load.running + load.waiting, 0);
        return requests / loads.reduce((sum, load) => sum + load.slots, 0);
    };
    const [local, elsewhere] = [sumLoad(true), sumLoad(false)];
    return Number.isFinite(local) && Number.isFinite(elsewhere) ? { local, elsewhere } : undefined;
};
