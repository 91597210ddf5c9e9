/** What is missing to carry a service without the drained or moved part. */
export interface Shortfall {
    /** `service NAME in slots` or `link FROM>TO in bytes a second`. */
    readonly what: string;
    readonly needed: number;
    readonly available: number;
}
