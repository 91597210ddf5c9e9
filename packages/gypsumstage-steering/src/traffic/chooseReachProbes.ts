import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";

/**
 * Chooses the endpoints to which connections are opened to see whether a service can be reached: of different data centres,
 * as far as there are, so that one that lost power is not taken for a cut.
 *
 * @param endpoints - the service's endpoints
 * @param excludedIds - endpoints that were tried already
 * @param count - largest number of endpoints
 * @param random - returns a number from 0 up to 1
 * @param preferredId - the endpoint that responded last, which comes first if it was not tried
 * @returns the endpoints, in random order
 */
export const chooseReachProbes = (
    endpoints: readonly UpstreamEndpoint[],
    excludedIds: ReadonlySet<string>,
    count: number,
    random: () => number,
    preferredId?: string,
): readonly UpstreamEndpoint[] => {
    const shuffled = endpoints
        .filter(endpoint => !endpoint.isDraining && !excludedIds.has(endpoint.id))
        .map(endpoint => ({ endpoint, order: random() }))
        .sort((left, right) => left.order - right.order)
        .map(({ endpoint }) => endpoint);
    const countByDataCentre = new Map<string, number>();
    const ranked = shuffled.map(endpoint => {
        const rank = countByDataCentre.get(endpoint.dataCentre) ?? 0;
        countByDataCentre.set(endpoint.dataCentre, rank + 1);
        return { endpoint, rank };
    });
    const order = ({ endpoint, rank }: typeof ranked[number]): number =>
        endpoint.id === preferredId ? -1 : rank;
    return ranked.sort((left, right) => order(left) - order(right)).slice(0, count).map(each =>
        each.endpoint
    );
};
