import type { QuotaBounds } from "@gypsumstage/steering/traffic/QuotaBounds";
import type { RetryBudgetConfig } from "@gypsumstage/steering/traffic/RetryBudgetConfig";

/** Settings of an instance. Durations are in milliseconds. */
export interface InstanceConfig {
    readonly name: string;
    readonly dataCentre: string;
    readonly region: string;
    readonly listen: {
        /** `IP:port` for callers' requests. */
        readonly requests: string;
        /** `IP:port` for readiness checks. */
        readonly readiness: string;
        /** `IP:port` for callers' lookups. */
        readonly lookup: string;
        /** `IP:port` for other instances: TCP for RPC, UDP for peer reports. */
        readonly internal: string;
        /** `IP:port` for requests that other instances pass on. */
        readonly relay: string;
        /** `IP:port` from which metrics are scraped. */
        readonly metrics: string;
    };
    /** Internal addresses of instances through which the others are discovered; some may be unreachable. */
    readonly seeds: readonly string[];
    readonly retry: RetryBudgetConfig;
    /** Largest share, 0 to 1, of a region's requests that may change region from one window to the next. */
    readonly maxRegionShift: number;
    /** Bounds of the usage caps of workspaces; absent where none are enforced. */
    readonly quota?: QuotaBounds;
    /** Whether this deployment serves workspaces: then requests need a key even while the configuration has no workspace. */
    readonly isForWorkspaces?: boolean;
    /** Memory that the process may take; it is killed beyond that. */
    readonly memoryBytes: number;
    /** Time from the stop signal until the process is killed. */
    readonly gracePeriodMs: number;
    /** Time in which a change of the store must be in force at all instances. */
    readonly changeBoundMs: number;
    /**
     * Time after which a key that the store no longer holds must not be accepted, whether or not this instance reaches the store;
     * absent where keys are not revoked strictly.
     */
    readonly revokeBoundMs?: number | undefined;
    /** For how long callers may cache a lookup response. */
    readonly lookupTtlMs: number;
}
