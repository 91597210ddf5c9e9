import type { IntentSections } from "./IntentSections.js";

/**
 * Writes sections as an INI document.
 *
 * @param sections - keys by section
 * @returns the text
 */
export const writeSections = (sections: IntentSections): string =>
    Object.entries(sections)
        .map(([title, keys]) =>
            [`[${title}]`, ...Object.entries(keys).map(([key, value]) => `${key} = ${value}`), ""].join("\n")
        )
        .join("\n");
