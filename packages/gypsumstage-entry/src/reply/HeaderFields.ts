/** Header fields of a request or response, by lower-case name. */
export type HeaderFields = Readonly<Record<string, string | readonly string[]>>;
