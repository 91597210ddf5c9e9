/** Capacity that is missing to serve the load once the requested drain or move is in force. */
export interface Shortfall {
    /** The resource and its unit: `service NAME in slots` or `link FROM>TO in bytes a second`. */
    readonly what: string;
    readonly needed: number;
    readonly available: number;
}
