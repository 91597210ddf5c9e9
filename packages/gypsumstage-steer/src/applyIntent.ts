import { diffIntents } from "@gypsumstage/domain/diffIntents";
import { formatIntent } from "@gypsumstage/domain/formatIntent";
import type { IntentSections } from "@gypsumstage/domain/IntentSections";
import { mergeIntents } from "@gypsumstage/domain/mergeIntents";
import { parseIntent } from "@gypsumstage/domain/parseIntent";
import { failure } from "@gypsumstage/shared/failure";
import { success } from "@gypsumstage/shared/success";
import type { ConfigurationChange } from "./ConfigurationChange.js";

/**
 * Creates the change that puts an intent in force. When the configuration has changed since the operator's base
 * generation, both changes are merged in a three-way merge. The change is refused as a conflict when the two changes
 * contradict each other, or when the base generation is not given or no longer in the history.
 *
 * @param sections - sections of the intent, not validated yet
 * @param base - generation that the operator started from; undefined when none was given
 * @returns the change; it keeps the current drains and moves
 */
export const applyIntent =
    (sections: IntentSections, base: number | undefined): ConfigurationChange =>
    async (current, readGeneration) => {
        const parsed = parseIntent(sections);
        if (!parsed.ok) {
            return parsed;
        }
        const drainsAndMoves = { drains: current?.drains ?? [], moves: current?.moves ?? [] };
        if (current === undefined) {
            return success({ intent: parsed.value, ...drainsAndMoves });
        }
        if (base === current.generation) {
            return success({ intent: parsed.value, ...drainsAndMoves });
        }
        const baseConfiguration = base === undefined ? undefined : await readGeneration(base);
        const currentSections = formatIntent(current.intent);
        if (baseConfiguration === undefined) {
            const yours = diffIntents(currentSections, formatIntent(parsed.value));
            return failure({
                kind: "conflict",
                base: base ?? 0,
                current: current.generation,
                theirs: [],
                yours,
            });
        }
        const merged = mergeIntents(
            formatIntent(baseConfiguration.intent),
            currentSections,
            formatIntent(parsed.value),
        );
        if (!merged.ok) {
            return failure({
                kind: "conflict",
                base: baseConfiguration.generation,
                current: current.generation,
                ...merged.error,
            });
        }
        const intent = parseIntent(merged.value);
        return intent.ok ? success({ intent: intent.value, ...drainsAndMoves }) : intent;
    };
