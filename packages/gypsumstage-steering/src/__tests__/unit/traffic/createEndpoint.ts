import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";

/**
 * Creates an endpoint for tests.
 *
 * @param id - id of the endpoint
 * @param fields - fields that override the defaults
 * @returns the endpoint
 */
export const createEndpoint = (id: string, fields: Partial<UpstreamEndpoint> = {}): UpstreamEndpoint => ({
    id,
    service: "desk",
    address: "10.0.0.1:80",
    dataCentre: "kutch-a",
    region: "kutch",
    slots: 6,
    isDraining: false,
    coldForMs: 0,
    startedAt: 1,
    ...fields,
});
