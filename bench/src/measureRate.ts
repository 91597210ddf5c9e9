import autocannon from "autocannon";

const CONNECTIONS = 32;

/**
 * Measures the throughput of a server under closed-loop load: each connection sends its next request when it has
 * received the response to the previous one.
 *
 * @param url - URL to request
 * @param seconds - duration of the load
 * @returns responses with a 2xx status per second
 */
export const measureRate = async (url: string, seconds: number): Promise<number> => {
    const result = await autocannon({ url, connections: CONNECTIONS, duration: seconds });
    return result["2xx"] / result.duration;
};
