import type { InstanceConfig } from "./InstanceConfig.js";

/** A running instance. */
export interface Instance {
    /** Shuts down gracefully; resolves when no request is in flight or the grace period is nearly over. */
    readonly stop: () => Promise<void>;
    /** Applies the settings that may change while the process runs: limits and durations. */
    readonly reconfigure: (cfg: InstanceConfig) => void;
}
