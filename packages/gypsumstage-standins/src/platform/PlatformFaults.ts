/** Faults that the stand-in platform injects. */
export interface PlatformFaults {
    /** Whether connections are closed without a response. */
    readonly isDown: boolean;
    /** Delay before each request is handled, in milliseconds. */
    readonly delayMs: number;
    /** Whether the connection of a PUT request is closed without a response after the object has been written. */
    readonly isResponseLost: boolean;
    /** Delay until a change of the list of members is visible, in milliseconds. */
    readonly listLagMs: number;
}
