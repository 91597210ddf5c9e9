import type { IntentSections } from "./IntentSections.js";

/**
 * Formats sections as an INI document.
 *
 * @param sections - values by section and key
 * @returns the text of the document
 */
export const formatIni = (sections: IntentSections): string =>
    Object.entries(sections)
        .map(([title, keys]) =>
            [`[${title}]`, ...Object.entries(keys).map(([key, value]) => `${key} = ${value}`), ""].join("\n")
        )
        .join("\n");
