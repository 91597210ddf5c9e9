import type { InstanceConfig } from "./InstanceConfig.js";

/** A running instance. */
export interface Instance {
    /**
     * Waits until no request is in flight, at most until shortly before the end of the grace period, then closes all
     * connections and servers. Further calls return the same promise.
     */
    readonly stop: () => Promise<void>;
    /** Applies the settings that may change while the process runs: limits, durations and seeds. */
    readonly reconfigure: (cfg: InstanceConfig) => void;
}
