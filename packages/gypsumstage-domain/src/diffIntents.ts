import type { IntentChange } from "./IntentChange.js";
import type { IntentSections } from "./IntentSections.js";

/** Key of a change that adds or removes a section. */
const SECTION_CHANGE_KEY = "";

const diffSection = (
    section: string,
    from: Readonly<Record<string, string>> | undefined,
    to: Readonly<Record<string, string>> | undefined,
): readonly IntentChange[] => {
    const sectionChange = (from === undefined) === (to === undefined)
        ? []
        : [{
            section,
            key: SECTION_CHANGE_KEY,
            from: from === undefined ? undefined : "present",
            to: to === undefined ? undefined : "present",
        }];
    const keys = new Set([...Object.keys(from ?? {}), ...Object.keys(to ?? {})]);
    const keyChanges = [...keys]
        .filter(key => from?.[key] !== to?.[key])
        .map(key => ({ section, key, from: from?.[key], to: to?.[key] }));
    return [...sectionChange, ...keyChanges];
};

/**
 * Returns the differences between two intents.
 *
 * @param from - the earlier intent
 * @param to - the later intent
 * @returns one change per differing key; the empty key stands for the section itself
 */
export const diffIntents = (from: IntentSections, to: IntentSections): readonly IntentChange[] =>
    [...new Set([...Object.keys(from), ...Object.keys(to)])].flatMap(section =>
        diffSection(section, from[section], to[section])
    );
