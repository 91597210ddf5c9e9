import { describeError } from "@gypsumstage/shared/describeError";
import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { planDiscovery } from "@gypsumstage/steering/traffic/planDiscovery";
import type { StoreError } from "../store/StoreError.js";
import type { Discovery } from "./Discovery.js";
import type { DiscoveryRecord } from "./DiscoveryRecord.js";
import type { DiscoveryStore } from "./DiscoveryStore.js";

/** Time between two reads by an instance that reads the store for others. */
const INTERVAL_MS = 5_000;
/** Time between two reads by an instance that knows nobody. */
const ALONE_INTERVAL_MS = 1_000;
/** Time from the start, in which the others are found where the seeds are live. */
const FIRST_CHECK_MS = 1_500;
/** Share by which the times vary, so that instances that started together don't read together. */
const JITTER_SHARE = 0.4;
/** Time in which the others can list themselves again after an instance that knows nobody has listed itself only. */
const REPLACE_INTERVAL_MS = 9_000;
/** Covers the interval of others that know nobody either, and that of readers with the age of what they read. */
const CONFIRM_ALONE_MS = 15_000;

/** What the search needs of the instance. */
interface DiscoveryDependencies {
    readonly store: Pick<DiscoveryStore, "read" | "write">;
    /** Internal address of this instance. */
    readonly ownAddress: string;
    /** Returns the internal addresses of the other instances that are live. */
    readonly live: () => readonly string[];
    /** Whether this instance reads the store for others. */
    readonly isReader: () => boolean;
    /** Introduces this instance to the instances at addresses. */
    readonly introduce: (addresses: readonly string[]) => void;
    readonly log: Log;
}

const addJitter = (ms: number): number => ms * (1 + JITTER_SHARE * (Math.random() - 0.5));

/**
 * Searches for the rest of the fleet by a record in the platform's store, which outlasts the seeds of the settings. Instances that read
 * the store for others, and those that know nobody, read the record, introduce themselves to whom it names and see to it
 * that it names a live instance of their part of the fleet.
 *
 * @param deps - the record, what this instance knows of the others, and how it introduces itself
 * @returns the handle on the search
 */
export const startDiscovery = (deps: DiscoveryDependencies): Discovery => {
    const { store, ownAddress, live, isReader, introduce, log } = deps;
    let tried: ReadonlySet<string> = new Set();
    let onlyOneSinceMs: number | undefined;
    let replacedAtMs = -Infinity;
    let loggedFailure: StoreError["kind"] | undefined;
    const isAlone = (): boolean => live().length === 0;
    const isConfirmedAlone = (): boolean =>
        onlyOneSinceMs !== undefined && monotonicNow() - onlyOneSinceMs >= CONFIRM_ALONE_MS;
    const recordResult = (error: StoreError | undefined): void => {
        if (error !== undefined && error.kind !== loggedFailure) {
            log("warn", "discovery-failed", { error });
        }
        loggedFailure = error?.kind;
    };
    const tryAddresses = (addresses: readonly string[]): void => {
        tried = new Set(addresses);
        introduce(addresses);
    };
    const write = async (addresses: readonly string[], revision: number | undefined): Promise<void> => {
        const res = await store.write(addresses, revision);
        recordResult(res.ok ? undefined : res.error);
        if (!res.ok) {
            return;
        }
        log("info", "discovery-listed", { addresses, result: res.value.kind });
        if (res.value.kind === "written") {
            replacedAtMs = monotonicNow();
        }
        else {
            tryAddresses((res.value.record?.addresses ?? []).filter(address => address !== ownAddress));
        }
    };
    const follow = async ({ addresses, revision }: DiscoveryRecord): Promise<void> => {
        const isOnlyOne = isAlone() && addresses.length === 1 && addresses[0] === ownAddress;
        onlyOneSinceMs = isOnlyOne ? onlyOneSinceMs ?? monotonicNow() : undefined;
        const mayReplace = monotonicNow() - replacedAtMs >= REPLACE_INTERVAL_MS;
        const plan = planDiscovery(addresses, ownAddress, new Set(live()), tried, mayReplace);
        tryAddresses(plan.introduceTo);
        if (plan.nextAddresses !== undefined) {
            await write(plan.nextAddresses, revision);
        }
    };
    const check = async (): Promise<void> => {
        if (!isAlone() && !isReader()) {
            onlyOneSinceMs = undefined;
            return;
        }
        const res = await store.read(!isAlone());
        recordResult(res.ok ? undefined : res.error);
        if (!res.ok) {
            onlyOneSinceMs = undefined;
            return;
        }
        await follow(res.value);
    };
    let timer: NodeJS.Timeout;
    let isStopped = false;
    const run = async (): Promise<void> => {
        try {
            await check();
        }
        catch (err) {
            log("error", "discovery-failed", { reason: describeError(err) });
        }
        if (!isStopped) {
            schedule(isAlone() && !isConfirmedAlone() ? ALONE_INTERVAL_MS : INTERVAL_MS);
        }
    };
    const schedule = (delayMs: number): void => {
        timer = setTimeout(() => void run(), addJitter(delayMs));
    };
    schedule(FIRST_CHECK_MS);
    return {
        isConfirmedAlone,
        stop: () => {
            isStopped = true;
            clearTimeout(timer);
        },
    };
};
