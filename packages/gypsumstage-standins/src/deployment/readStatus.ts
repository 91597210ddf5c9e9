import type { SystemStatus } from "@gypsumstage/domain/SystemStatus";
import { request } from "undici";

/**
 * Reads the status of the system as one steer process tells it.
 *
 * @param steer - its address
 * @returns the status, or undefined when it did not answer
 */
export const readStatus = async (steer: string): Promise<SystemStatus | undefined> => {
    try {
        return await (await request(`http://${steer}/v1/status`, { signal: AbortSignal.timeout(2_000) })).body
            .json() as SystemStatus;
    }
    catch {
        return undefined;
    }
};
