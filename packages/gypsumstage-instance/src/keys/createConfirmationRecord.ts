import type { Confirmation } from "@gypsumstage/steering/traffic/Confirmation";
import { getConfirmationAge } from "@gypsumstage/steering/traffic/getConfirmationAge";
import type { TimeReading } from "@gypsumstage/steering/traffic/TimeReading";
import type { ConfirmationRecord } from "./ConfirmationRecord.js";

/**
 * Creates the record of the confirmations of this instance's copy of the configuration.
 *
 * @param now - reads the clocks
 * @returns the record, without a confirmation
 */
export const createConfirmationRecord = (now: () => TimeReading): ConfirmationRecord => {
    let latest: Confirmation | undefined;
    return {
        add: confirmation => {
            const at = now();
            if (
                latest === undefined || getConfirmationAge(confirmation, at) < getConfirmationAge(latest, at)
            ) {
                latest = confirmation;
            }
        },
        ageMs: at => latest === undefined ? undefined : getConfirmationAge(latest, at),
        isConfirmedSince: atMs => latest !== undefined && latest.from.monotonicMs - latest.addedMs > atMs,
    };
};
