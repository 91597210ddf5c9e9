import type { SystemStatus } from "@gypsumstage/domain/SystemStatus";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { combineConfigurationStatuses } from "@gypsumstage/steering/combineConfigurationStatuses";
import { getInstanceStatus } from "@gypsumstage/steering/getInstanceStatus";
import { summarizeDrain } from "@gypsumstage/steering/summarizeDrain";
import type { SteerContext } from "./SteerContext.js";

/**
 * Returns for each data centre whether the intent is in force, according to the view of this instance.
 *
 * @param context - the steering view and the tracker of head reads
 * @returns the status of the system, with its drains and moves
 */
export const describeStatus = ({ store, headReadTracker }: SteerContext): SystemStatus => {
    const view = store.get();
    const nowMs = monotonicNow();
    const readAtMs = headReadTracker.readAtMs();
    const acceptedGeneration = Math.max(headReadTracker.generation(), view.configuration?.generation ?? 0);
    const intent = view.configuration?.intent;
    const dataCentres = Object.entries(intent?.dataCentres ?? {}).map(([name, region]) => {
        const places = Object.entries(intent?.places ?? {}).filter(([, dataCentre]) => dataCentre === name);
        const instances = places.map(([place]) => getInstanceStatus(place, acceptedGeneration, view, nowMs));
        return {
            name,
            region,
            instances,
            verdict: combineConfigurationStatuses(instances.map(each => each.verdict)),
        };
    });
    return {
        accepted: acceptedGeneration,
        acceptedReadAgoMs: readAtMs === undefined ? undefined : Math.round(nowMs - readAtMs),
        verdict: combineConfigurationStatuses(dataCentres.map(each => each.verdict)),
        dataCentres,
        drains: (view.configuration?.drains ?? []).map(drain => summarizeDrain(drain, view, nowMs)),
        moves: view.configuration?.moves ?? [],
    };
};
