/** An intent in its textual form: values by section and key, as in an INI file. */
export type IntentSections = Readonly<Record<string, Readonly<Record<string, string>>>>;
