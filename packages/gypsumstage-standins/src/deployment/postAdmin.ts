import { request } from "undici";

const REQUEST_TIMEOUT_MS = 20_000;

/**
 * Sends a POST request to the administration API.
 *
 * @param steer - address of a steer process
 * @param path - path of the operation
 * @param body - parameters of the operation, sent as JSON
 * @returns status code and parsed body of the response
 */
export const postAdmin = async (
    steer: string,
    path: string,
    body: unknown,
): Promise<{ readonly status: number; readonly body: unknown; }> => {
    const res = await request(`http://${steer}${path}`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    return { status: res.statusCode, body: await res.body.json() };
};
