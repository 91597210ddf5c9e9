import type { UpstreamEndpoint } from "@gypsumstage/domain/traffic/UpstreamEndpoint";

/**
 * Creates an endpoint of service `desk` in data centre `kutch-a`.
 *
 * @param id - identifier of the endpoint
 * @param fields - fields that replace the defaults
 * @returns the endpoint
 */
export const createTestEndpoint = (id: string, fields: Partial<UpstreamEndpoint> = {}): UpstreamEndpoint => ({
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
