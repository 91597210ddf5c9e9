/** What an instance knows of its links to the endpoints of a service. Times are monotonic, in milliseconds. */
export interface ServiceReach {
    /** True while connections can be opened to none of the endpoints that were tried. */
    readonly isCut: boolean;
    /** When it last got a response or opened a connection. */
    readonly contactAtMs: number;
    /** When its links were last checked. */
    readonly checkedAtMs: number;
    /** True when a connection failed since the last check. */
    readonly hasFailed: boolean;
}
