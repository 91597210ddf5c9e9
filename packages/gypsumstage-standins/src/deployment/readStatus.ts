import type { SystemStatus } from "@gypsumstage/domain/SystemStatus";
import { request } from "undici";

/**
 * Fetches the status of the system from a steer process.
 *
 * @param steer - address of the steer process
 * @returns the status; undefined if the request fails or takes longer than 2 s
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
