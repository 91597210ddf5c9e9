/** Identifies a condition that only a programming error can break. */
export type InvariantCode =
    | "slot-released-twice"
    | "key-settled-twice"
    | "listener-missing"
    | "address-malformed"
    | "digest-mismatch"
    | "process-failed";
