import type { RequestClass } from "./RequestClass.js";

/** What operators declare: targets and limits, never weights or addresses. */
export interface Intent {
    readonly services: readonly string[];
    readonly classes: readonly RequestClass[];
    /** Region of each data centre. */
    readonly dataCentres: Readonly<Record<string, string>>;
    /** Data centre of each declared place of an instance. */
    readonly places: Readonly<Record<string, string>>;
    /** Bytes a second of each directed link, named `from>to`. */
    readonly links: Readonly<Record<string, number>>;
    /** Requests in flight of a class in a region, named `class@region`. */
    readonly caps: Readonly<Record<string, number>>;
}
