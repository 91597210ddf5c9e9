import ini from "ini";

/**
 * Parses INI text. Sections keep their written name; a dot in it makes no nested section.
 *
 * @param text - the INI document
 * @returns keys by section; keys before the first section are under the empty name
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
