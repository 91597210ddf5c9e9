/** Identifies a condition that can only be violated by a programming error. */
export type InvariantCode =
    | "slot-released-twice"
    | "key-settled-twice"
    | "listener-missing"
    | "address-malformed"
    | "digest-mismatch"
    | "process-failed";
