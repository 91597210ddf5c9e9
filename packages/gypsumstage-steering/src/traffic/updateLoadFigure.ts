import type { EndpointLoad } from "./EndpointLoad.js";
import type { LoadFigure } from "./LoadFigure.js";

/** Time after which a figure has lost most of its weight in the moving average; long beside the time of a request. */
const AVERAGE_MS = 8_000;

/**
 * Takes up a load that an endpoint stated. Figures come with responses and with the reports of other instances, so they
 * may arrive out of order; an older one than that known is ignored.
 *
 * @param previous - the newest figure so far; undefined when there is none
 * @param load - the stated load
 * @param statedAtMs - when it was stated, on the monotonic clock
 * @param ownInFlight - requests of this instance in flight at the endpoint at that time
 * @returns the newest figure
 */
export const updateLoadFigure = (
    previous: LoadFigure | undefined,
    load: EndpointLoad,
    statedAtMs: number,
    ownInFlight: number,
): LoadFigure => {
    if (previous !== undefined && previous.statedAtMs >= statedAtMs) {
        return previous;
    }
    const othersInFlight = Math.max(0, load.running + load.waiting - ownInFlight);
    const mean = previous?.meanOthersInFlight ?? othersInFlight;
    const sinceMs = previous === undefined ? 0 : statedAtMs - previous.statedAtMs;
    const weight = 1 - Math.exp(-sinceMs / AVERAGE_MS);
    return {
        load,
        statedAtMs,
        othersInFlight,
        meanOthersInFlight: mean + weight * (othersInFlight - mean),
    };
};
