/** Header fields of a message, by lower-case name. */
export type AnswerHeaders = Readonly<Record<string, string | readonly string[]>>;
