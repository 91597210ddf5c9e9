import type { InstanceRecord } from "@gypsumstage/domain/InstanceRecord";
import type { InstanceSettings } from "@gypsumstage/shared/InstanceSettings";
import type { LocalRoles } from "./LocalRoles.js";
import type { OwnRecordProvider } from "./OwnRecordProvider.js";

const RENEWAL_INTERVAL_MS = 1_000;

const hasUrgentChange = (current: InstanceRecord, next: InstanceRecord): boolean =>
    current.generation !== next.generation
    || current.isPlatformLost !== next.isPlatformLost
    || current.entry?.incarnation !== next.entry?.incarnation
    || current.entry?.isLeaving !== next.entry?.isLeaving
    || JSON.stringify(current.entry?.acknowledged) !== JSON.stringify(next.entry?.acknowledged);

/**
 * Creates the provider of this instance's record. Because each renewal is sent to every instance, the record is
 * renewed only once a second, or immediately when a field changes that other instances wait for (generation,
 * loss of the platform, incarnation, leaving, acknowledged launches). The sequence follows the wall clock in milliseconds, so that it also
 * increases when the process is restarted within one launch.
 *
 * @param cfg - settings of the instance
 * @param localRoles - latest reports of the other roles of the instance
 * @param isPlatformLost - returns whether this process failed to read the platform
 * @returns the provider; it returns the same object until the next renewal
 */
export const createOwnRecordProvider = (
    cfg: InstanceSettings,
    localRoles: LocalRoles,
    isPlatformLost: () => boolean,
): OwnRecordProvider => {
    let current: InstanceRecord | undefined;
    const buildRecord = (): InstanceRecord => ({
        name: cfg.instance.name,
        launch: cfg.instance.launch,
        dataCentre: cfg.instance.dataCentre,
        region: cfg.instance.region,
        entryAddress: cfg.entry.address,
        peerAddress: cfg.entry.peer,
        steerAddress: cfg.steer.address,
        sequence: Date.now(),
        isPlatformLost: isPlatformLost(),
        generation: localRoles.lowestGeneration(),
        entry: localRoles.entryStatus(),
    });
    return () => {
        const next = buildRecord();
        const isRenewalDue = current === undefined || next.sequence - current.sequence >= RENEWAL_INTERVAL_MS
            || next.sequence < current.sequence;
        if (current === undefined || isRenewalDue || hasUrgentChange(current, next)) {
            current = { ...next, sequence: Math.max(next.sequence, (current?.sequence ?? 0) + 1) };
        }
        return current;
    };
};
