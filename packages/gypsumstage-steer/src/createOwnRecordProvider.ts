import type { InstanceRecord } from "@gypsumstage/domain/InstanceRecord";
import type { InstanceSettings } from "@gypsumstage/shared/InstanceSettings";
import type { LocalRoles } from "./LocalRoles.js";
import type { OwnRecordProvider } from "./OwnRecordProvider.js";

const RENEWAL_MS = 1_000;

const isUrgent = (held: InstanceRecord, next: InstanceRecord): boolean =>
    held.generation !== next.generation
    || held.entry?.incarnation !== next.entry?.incarnation
    || held.entry?.isLeaving !== next.entry?.isLeaving
    || JSON.stringify(held.entry?.acknowledged) !== JSON.stringify(next.entry?.acknowledged);

/**
 * Creates the maker of the record that this instance tells the others. A record is renewed once a second, and at once
 * when something changed that others wait for: each renewal travels to every instance. The sequence follows the wall
 * clock, so that it also grows when the process is restarted within one launch.
 *
 * @param cfg - settings of the instance
 * @param local - what the other roles of the instance report
 * @returns the maker
 */
export const createOwnRecordProvider = (cfg: InstanceSettings, local: LocalRoles): OwnRecordProvider => {
    let held: InstanceRecord | undefined;
    const describe = (): InstanceRecord => ({
        name: cfg.instance.name,
        launch: cfg.instance.launch,
        dataCentre: cfg.instance.dataCentre,
        region: cfg.instance.region,
        entryAddress: cfg.entry.address,
        peerAddress: cfg.entry.peer,
        steerAddress: cfg.steer.address,
        sequence: Date.now(),
        generation: local.generation(),
        entry: local.entry(),
    });
    return () => {
        const next = describe();
        const isDue = held === undefined || next.sequence - held.sequence >= RENEWAL_MS
            || next.sequence < held.sequence;
        if (held === undefined || isDue || isUrgent(held, next)) {
            held = { ...next, sequence: Math.max(next.sequence, (held?.sequence ?? 0) + 1) };
        }
        return held;
    };
};
