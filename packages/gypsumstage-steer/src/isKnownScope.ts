import type { Configuration } from "@gypsumstage/domain/Configuration";
import type { Drain } from "@gypsumstage/domain/Drain";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";

/**
 * Checks whether the endpoint, data centre or region of a drain exists.
 *
 * @param drain - scope and name of the drain
 * @param configuration - the configuration in force
 * @param view - the current steering view, with the list of members
 * @returns whether the list of members contains the endpoint, or the configuration the data centre or region
 */
export const isKnownScope = (
    drain: Pick<Drain, "scope" | "name">,
    configuration: Configuration,
    view: SteeringView,
): boolean => {
    const { dataCentres } = configuration.intent;
    switch (drain.scope) {
        case "endpoint":
            return view.members.some(member => member.kind === "upstream" && member.name === drain.name);
        case "dataCentre":
            return dataCentres[drain.name] !== undefined;
        case "region":
            return Object.values(dataCentres).includes(drain.name);
    }
};
