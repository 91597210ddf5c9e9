/**
 * The outcome of an operation that may fail. A tagged union, so that a caller has to handle the failure
 * before it can use the value.
 */
export type Result<Value, Failure> =
    | { readonly ok: true; readonly value: Value; }
    | { readonly ok: false; readonly error: Failure; };
