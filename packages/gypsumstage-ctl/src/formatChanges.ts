import type { IntentChange } from "@gypsumstage/domain/IntentChange";
import { formatTable } from "./formatTable.js";

/**
 * Formats the differences between two intents.
 *
 * @param changes - the differences, by section and key
 * @returns a table, or a sentence when there are none
 */
export const formatChanges = (changes: readonly IntentChange[]): string =>
    changes.length === 0
        ? "no differences"
        : formatTable(
            ["SECTION", "KEY", "FROM", "TO"],
            changes.map(change => [`[${change.section}]`, change.key, change.from ?? "-", change.to ?? "-"]),
        );
