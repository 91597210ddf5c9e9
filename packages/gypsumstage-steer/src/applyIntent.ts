import { diffIntents } from "@gypsumstage/domain/diffIntents";
import { formatIntent } from "@gypsumstage/domain/formatIntent";
import type { IntentSections } from "@gypsumstage/domain/IntentSections";
import { mergeIntents } from "@gypsumstage/domain/mergeIntents";
import { readIntent } from "@gypsumstage/domain/readIntent";
import { failure } from "@gypsumstage/shared/failure";
import { success } from "@gypsumstage/shared/success";
import type { ConfigurationChange } from "./ConfigurationChange.js";

/**
 * Makes the change that puts an intent in force. When the configuration has moved on since the operator's base,
 * both changes are merged, or refused when they touch one thing.
 *
 * @param sections - the intent as the operator gave it
 * @param base - generation that the operator started from; undefined when the intent is new
 * @returns the change
 */
export const applyIntent =
    (sections: IntentSections, base: number | undefined): ConfigurationChange =>
    async (current, readGeneration) => {
        const checked = readIntent(sections);
        if (!checked.ok) {
            return checked;
        }
        const keep = { drains: current?.drains ?? [], moves: current?.moves ?? [] };
        if (current === undefined) {
            return success({ intent: checked.value, ...keep });
        }
        if (base === current.generation) {
            return success({ intent: checked.value, ...keep });
        }
        const start = base === undefined ? undefined : await readGeneration(base);
        const currentSections = formatIntent(current.intent);
        if (start === undefined) {
            const yours = diffIntents(currentSections, formatIntent(checked.value));
            return failure({
                kind: "conflict",
                base: base ?? 0,
                current: current.generation,
                theirs: [],
                yours,
            });
        }
        const merged = mergeIntents(formatIntent(start.intent), currentSections, formatIntent(checked.value));
        if (!merged.ok) {
            return failure({
                kind: "conflict",
                base: start.generation,
                current: current.generation,
                ...merged.error,
            });
        }
        const intent = readIntent(merged.value);
        return intent.ok ? success({ intent: intent.value, ...keep }) : intent;
    };
