import type { LoadKind } from "./LoadKind.js";

/** A load that is replayed. */
export interface OverloadCase {
    readonly kinds: readonly LoadKind[];
    /** Relative rates of the workspaces. */
    readonly workspaces: readonly number[];
    readonly demandFactor: (nowMs: number) => number;
    readonly retry: "once-later" | "three-at-once";
    /** Time after which a caller leaves; by default at the deadline. */
    readonly patienceMs?: number;
    readonly shedsAt?: (nowMs: number) => boolean;
    /** Whether instances get each other's reports; without them they see their own load only. */
    readonly hasReports?: (nowMs: number) => boolean;
    readonly restartAtMs?: number;
    readonly durationMs: number;
}
