import type { EntryStatus } from "@gypsumstage/domain/EntryStatus";
import type { EntryContext } from "./EntryContext.js";

/**
 * Returns the status that the entry reports to the steer process and, through it, to the other instances.
 *
 * @param context - the modules whose state is reported
 * @returns the status
 */
export const describeEntry = (context: EntryContext): EntryStatus => {
    const inFlight: Record<string, number> = {};
    const drainedInFlight: Record<string, number> = {};
    for (const endpoint of context.endpoints.get()) {
        inFlight[endpoint.service] = (inFlight[endpoint.service] ?? 0) + endpoint.inFlight;
        if (endpoint.isLeaving && endpoint.inFlight > 0) {
            drainedInFlight[endpoint.name] = endpoint.inFlight;
        }
    }
    return {
        incarnation: context.incarnation,
        isLeaving: context.isLeaving(),
        generation: context.view.get().configuration?.generation ?? 0,
        inFlight,
        freeSlots: context.slotQueue.freeSlots("short"),
        freeLongSlots: context.slotQueue.freeSlots("long"),
        demand: { ...context.classLimiter.demand(), ...context.linkPacers.demand() },
        drainedInFlight,
        acknowledged: context.placeTracker.acknowledged(),
    };
};
