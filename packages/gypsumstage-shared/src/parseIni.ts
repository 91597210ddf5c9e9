import ini from "ini";

/**
 * Parses an INI document. Section names are kept as written; a dot in a name does not create a nested
 * section.
 *
 * @param text - the text of the document
 * @returns values by section and key; keys before the first section belong to the section with the empty name
 */
export const parseIni = (text: string): Readonly<Record<string, Readonly<Record<string, string>>>> => {
    const sections: Record<string, Record<string, string>> = {};
    const blocks = text.split(/^(?=\s*\[)/m);
    for (const block of blocks) {
        const header = /^\s*\[([^\]\n]*)\][^\n]*\n?/.exec(block);
        const name = header?.[1]?.trim() ?? "";
        const body = header ? block.slice(header[0].length) : block;
        const parsed = ini.parse(body) as Record<string, unknown>;
        const entries = Object.entries(parsed).map(([key, value]) => [key, String(value)] as const);
        if (entries.length > 0 || header) {
            sections[name] = { ...sections[name], ...Object.fromEntries(entries) };
        }
    }
    return sections;
};
