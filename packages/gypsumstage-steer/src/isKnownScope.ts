import type { Configuration } from "@gypsumstage/domain/Configuration";
import type { Drain } from "@gypsumstage/domain/Drain";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";

/**
 * Tells whether the thing to drain exists.
 *
 * @param drain - the drain
 * @param configuration - the configuration in force
 * @param view - what the process knows
 * @returns whether the configuration or the list names it
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
