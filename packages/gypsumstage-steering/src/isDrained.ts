import type { Configuration } from "@gypsumstage/domain/Configuration";

/**
 * Checks whether a drain in force covers a data centre or one of its endpoints.
 *
 * @param configuration - the configuration in force
 * @param dataCentre - name of the data centre
 * @param endpoint - name of the endpoint; omitted to check the data centre alone
 * @returns whether it must get no new work
 */
export const isDrained = (configuration: Configuration, dataCentre: string, endpoint?: string): boolean => {
    const region = configuration.intent.dataCentres[dataCentre];
    return configuration.drains.some(drain =>
        (drain.scope === "dataCentre" && drain.name === dataCentre)
        || (drain.scope === "region" && drain.name === region)
        || (drain.scope === "endpoint" && drain.name === endpoint)
    );
};
