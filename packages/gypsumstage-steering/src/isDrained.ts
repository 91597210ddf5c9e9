import type { Configuration } from "@gypsumstage/domain/Configuration";

/**
 * Tells whether a drain in force covers an endpoint or a data centre.
 *
 * @param configuration - the configuration in force
 * @param dataCentre - the data centre
 * @param endpoint - the endpoint, when one is meant
 * @returns whether new work must stay away
 */
export const isDrained = (configuration: Configuration, dataCentre: string, endpoint?: string): boolean => {
    const region = configuration.intent.dataCentres[dataCentre];
    return configuration.drains.some(drain =>
        (drain.scope === "dataCentre" && drain.name === dataCentre)
        || (drain.scope === "region" && drain.name === region)
        || (drain.scope === "endpoint" && drain.name === endpoint)
    );
};
