/** A fact that one instance noticed and that all others should know soon. */
export interface Notice {
    /** Name of the topic that it belongs to. */
    readonly topic: string;
    /** Content in the topic's format; not validated. */
    readonly content: unknown;
}
