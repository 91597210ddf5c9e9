/** An intent as text: keys by section, as in its INI form. */
export type IntentSections = Readonly<Record<string, Readonly<Record<string, string>>>>;
