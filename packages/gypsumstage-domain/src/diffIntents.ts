import type { IntentChange } from "./IntentChange.js";
import type { IntentSections } from "./IntentSections.js";

const SECTION_ITSELF = "";

const diffSection = (
    section: string,
    from: Readonly<Record<string, string>> | undefined,
    to: Readonly<Record<string, string>> | undefined,
): readonly IntentChange[] => {
    const existence = (from === undefined) === (to === undefined)
        ? []
        : [{
            section,
            key: SECTION_ITSELF,
            from: from === undefined ? undefined : "present",
            to: to === undefined ? undefined : "present",
        }];
    const keys = new Set([...Object.keys(from ?? {}), ...Object.keys(to ?? {})]);
    const changed = [...keys]
        .filter(key => from?.[key] !== to?.[key])
        .map(key => ({ section, key, from: from?.[key], to: to?.[key] }));
    return [...existence, ...changed];
};

/**
 * Lists the differences between two intents.
 *
 * @param from - the earlier one
 * @param to - the later one
 * @returns one change a key; the empty key stands for the section itself
 */
export const diffIntents = (from: IntentSections, to: IntentSections): readonly IntentChange[] =>
    [...new Set([...Object.keys(from), ...Object.keys(to)])].flatMap(section =>
        diffSection(section, from[section], to[section])
    );
