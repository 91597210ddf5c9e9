/** Times that requests take at endpoints once they run, in milliseconds, as observed without a queue. */
export interface WorkTimes {
    /** Records the latency of a request whose endpoint stated that none waits. */
    readonly record: (service: string, targetLatencyMs: number, latencyMs: number) => void;
    /** Typical time on warm data of the service's requests with the given target latency. */
    readonly typicalMs: (service: string, targetLatencyMs: number) => number;
    /** Mean time of all requests of the service, on cold data and long ones included; undefined when none was observed. */
    readonly meanMs: (service: string) => number | undefined;
}
