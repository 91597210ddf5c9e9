/** How the stand-in platform misbehaves. */
export interface PlatformFaults {
    /** Connections are cut without an answer. */
    readonly isDown: boolean;
    /** Every answer is held back this long, in milliseconds. */
    readonly delayMs: number;
    /** Writes take effect, then the connection is cut without an answer. */
    readonly isResponseLost: boolean;
    /** Changes of the list of members show after this time, in milliseconds. */
    readonly listLagMs: number;
}
