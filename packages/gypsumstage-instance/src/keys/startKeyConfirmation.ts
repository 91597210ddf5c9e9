import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { RpcClient } from "@gypsumstage/shared/RpcClient";
import { startPeriodicTask } from "@gypsumstage/shared/startPeriodicTask";
import { computeKeyTrustLimits } from "@gypsumstage/steering/traffic/computeKeyTrustLimits";
import { createTopicUpdate } from "@gypsumstage/steering/traffic/createTopicUpdate";
import type { KeyTrustLimits } from "@gypsumstage/steering/traffic/KeyTrustLimits";
import { listConfirmers } from "@gypsumstage/steering/traffic/listConfirmers";
import { requiresKeys } from "@gypsumstage/steering/traffic/requiresKeys";
import type { TimeReading } from "@gypsumstage/steering/traffic/TimeReading";
import type { InstanceConfig } from "../InstanceConfig.js";
import type { InstanceMetrics } from "../InstanceMetrics.js";
import type { PeerExchange } from "../peers/PeerExchange.js";
import type { FleetStore } from "../store/FleetStore.js";
import { createConfirmationRecord } from "./createConfirmationRecord.js";
import { createConfirmationSource } from "./createConfirmationSource.js";
import { createKeyTrust } from "./createKeyTrust.js";
import { createSharedRounds } from "./createSharedRounds.js";
import type { KeyConfirmation } from "./KeyConfirmation.js";
import type { PolicyCopy } from "./PolicyCopy.js";
import { waitMs } from "./waitMs.js";

/** Time between two rounds for keys that are not known; forged ones cause no more reads of the store than that. */
const ROUND_INTERVAL_MS = 100;
const FAILED_ROUND_INTERVAL_MS = 400;
/** Time after which a further instance is asked: a round trip between regions with the opening of a connection. */
const ASK_NEXT_AFTER_MS = 200;
/** Time for the region's reader to read the store, within the time that a request waits. */
const READ_WANTED_WAIT_MS = 150;
/** Shortest time between two reads of the store by an instance that follows a reader. */
const OWN_READ_INTERVAL_MS = 1_000;
/** Time for which an instance that gave no confirmation is left out while there are others. */
const FAILED_PEER_PAUSE_MS = 2_000;
/** Pause between two checks whether a confirmation is needed. */
const CHECK_INTERVAL_MS = 50;
/** Share of the longest age from which on look-ups name other instances. */
const UNCONFIRMED_SHARE = 0.9;

/** What the confirmations need of the instance. */
interface KeyConfirmationDependencies {
    readonly cfg: () => Pick<InstanceConfig, "dataCentre" | "region" | "revokeBoundMs" | "isForWorkspaces">;
    readonly copy: PolicyCopy;
    readonly store: Pick<FleetStore, "watch">;
    readonly peers: Pick<PeerExchange, "live">;
    readonly rpc: Pick<RpcClient, "call">;
    /** Whether this instance reads the store for others. */
    readonly isReader: () => boolean;
    readonly now: () => TimeReading;
    readonly metrics: Pick<InstanceMetrics, "countConfirmation">;
    readonly log: Log;
}

/**
 * Starts the confirmations of this instance's copy of the configuration, without which no keys are accepted where they are
 * revoked strictly. The reader of a region reads the store; the others ask it, then other instances, and read the store themselves
 * when these cannot confirm the copy either. Nothing is sent while requests need no key.
 *
 * @param deps - the instance's settings, copy, store and connections
 * @returns the handle on the confirmations
 */
export const startKeyConfirmation = (deps: KeyConfirmationDependencies): KeyConfirmation => {
    const { cfg, copy, store, peers, rpc, isReader, now, metrics, log } = deps;
    const random = Math.random();
    const record = createConfirmationRecord(now);
    const source = createConfirmationSource(copy, record, store, rpc, now, metrics);
    /** Until when instances that gave no confirmation are left out: for any, and for one by a read that had yet to begin. */
    const failedAnswersUntilMs = new Map<string, number>();
    const failedReadsUntilMs = new Map<string, number>();
    let nextOwnReadMs = 0;
    let nextConfirmMs = 0;
    let isExpiryLogged = false;
    const isForWorkspaces = (): boolean => cfg().isForWorkspaces ?? false;
    const getLimits = (): KeyTrustLimits | undefined => {
        const { revokeBoundMs } = cfg();
        const { policy } = copy.view();
        return revokeBoundMs === undefined || policy === undefined || !requiresKeys(policy, isForWorkspaces())
            ? undefined
            : computeKeyTrustLimits(revokeBoundMs);
    };
    const readStoreRarely = async (): Promise<boolean> => {
        if (monotonicNow() < nextOwnReadMs) {
            return false;
        }
        nextOwnReadMs = monotonicNow() + OWN_READ_INTERVAL_MS;
        return source.readStore();
    };
    /** Waits for a confirmation as long as it may take; a later one still counts. */
    const waitShortly = (confirmed: Promise<boolean>): Promise<boolean | undefined> =>
        Promise.race([confirmed, waitMs(ASK_NEXT_AFTER_MS)]);
    const getAge = (): number => record.ageMs(now()) ?? Number.POSITIVE_INFINITY;
    /** Asks instances one after the other until `isDone` holds; the reply of one that is slow still counts. */
    const askOthers = async (isReadWanted: boolean, isDone: () => boolean): Promise<void> => {
        const failedUntilMs = isReadWanted ? failedReadsUntilMs : failedAnswersUntilMs;
        const live = peers.live().filter(({ report }) => !isReadWanted || report.storeAgeMs !== undefined);
        const sound = live.filter(({ report }) => (failedUntilMs.get(report.name) ?? 0) <= monotonicNow());
        const candidates = sound.length > 0 ? sound : live;
        for (const { report: { name, internalAddress } } of listConfirmers(cfg(), candidates, Math.random)) {
            const isConfirmed = await waitShortly(source.ask(internalAddress, isReadWanted));
            if (isConfirmed && (!isReadWanted || isDone())) {
                failedUntilMs.delete(name);
            }
            else {
                failedUntilMs.set(name, monotonicNow() + FAILED_PEER_PAUSE_MS);
            }
            if (isDone()) {
                return;
            }
        }
    };
    const runRound = async (): Promise<boolean> => {
        const startedAtMs = monotonicNow();
        const isDone = (): boolean => record.isConfirmedSince(startedAtMs);
        if (isReader()) {
            await waitShortly(source.readStore());
        }
        if (!isDone()) {
            await askOthers(true, isDone);
        }
        if (!isReader() && !isDone()) {
            await waitShortly(readStoreRarely());
        }
        return isDone();
    };
    const startRound = createSharedRounds(
        runRound,
        hasSucceeded => hasSucceeded ? ROUND_INTERVAL_MS : FAILED_ROUND_INTERVAL_MS,
    );
    const logChange = (limits: KeyTrustLimits): void => {
        const isExpired = getAge() >= limits.maxAgeMs;
        if (isExpired !== isExpiryLogged) {
            isExpiryLogged = isExpired;
            log(isExpired ? "warn" : "info", isExpired ? "keys-unconfirmed" : "keys-confirmed", {
                ageMs: record.ageMs(now()),
                maxAgeMs: limits.maxAgeMs,
            });
        }
    };
    const confirmPeriodically = async (): Promise<void> => {
        const limits = getLimits();
        if (limits === undefined) {
            return;
        }
        logChange(limits);
        const intervalMs = limits.minIntervalMs + random * (limits.maxIntervalMs - limits.minIntervalMs);
        if (monotonicNow() < nextConfirmMs && getAge() < limits.maxAgeMs) {
            return;
        }
        nextConfirmMs = monotonicNow() + (isReader() ? limits.minIntervalMs : intervalMs);
        if (isReader() && await waitShortly(source.readStore())) {
            return;
        }
        await askOthers(false, () => getAge() <= limits.goodAgeMs);
        const ownReadAgeMs = limits.minOwnReadAgeMs
            + random * (limits.maxOwnReadAgeMs - limits.minOwnReadAgeMs);
        if (getAge() >= ownReadAgeMs) {
            await waitShortly(readStoreRarely());
        }
        logChange(limits);
    };
    const stopTask = startPeriodicTask(confirmPeriodically, () => CHECK_INTERVAL_MS, err => {
        log("error", "key-confirmation-failed", { reason: String(err) });
    });
    return {
        trust: createKeyTrust(copy, isForWorkspaces, record, getLimits, startRound, now),
        answer: async ({ era, since, isReadWanted }) => {
            const receivedAt = now();
            if (isReadWanted && isReader() && getLimits() !== undefined) {
                await Promise.race([
                    startRound(),
                    waitMs(READ_WANTED_WAIT_MS),
                ]);
            }
            return {
                policyVersion: copy.view().policy?.version,
                update: createTopicUpdate(
                    copy.topics.policy.get(),
                    since === undefined ? undefined : { era, revision: since },
                    false,
                    monotonicNow(),
                ),
                ageMs: record.ageMs(receivedAt),
            };
        },
        isUnconfirmed: () => {
            const limits = getLimits();
            return limits !== undefined && getAge() >= UNCONFIRMED_SHARE * limits.maxAgeMs;
        },
        ageMs: () => getLimits() === undefined ? undefined : record.ageMs(now()),
        stop: stopTask,
    };
};
