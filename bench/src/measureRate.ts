import autocannon from "autocannon";

const CONNECTIONS = 32;

/**
 * Measures how many requests a server answers with closed connections in a loop.
 *
 * @param url - what to ask for
 * @param seconds - how long
 * @returns answers a second
 */
export const measureRate = async (url: string, seconds: number): Promise<number> => {
    const result = await autocannon({ url, connections: CONNECTIONS, duration: seconds });
    return result["2xx"] / result.duration;
};
