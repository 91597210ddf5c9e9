import type { RequestClass } from "./RequestClass.js";

/** The declared state of the system: targets and limits set by operators, never weights or addresses. */
export interface Intent {
    readonly services: readonly string[];
    readonly classes: readonly RequestClass[];
    /** Region of each data centre, by data centre name. */
    readonly dataCentres: Readonly<Record<string, string>>;
    /** Data centre of each declared place, by place name. */
    readonly places: Readonly<Record<string, string>>;
    /** Capacity of each directed link in bytes per second, by `from>to`. */
    readonly links: Readonly<Record<string, number>>;
    /** Maximum number of requests of a class in flight in a region, by `class@region`. */
    readonly caps: Readonly<Record<string, number>>;
}
