/** Knows the connections on which responses are being delivered. */
export interface DeliveryTracker {
    /** Resets these connections, so that no response that is cut looks complete. */
    readonly resetUndelivered: () => void;
}
