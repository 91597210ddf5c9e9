/**
 * The outcome of an operation that may fail: a tagged union, so that a caller cannot overlook the failure.
 */
export type Result<Value, Failure> =
    | { readonly ok: true; readonly value: Value; }
    | { readonly ok: false; readonly error: Failure; };
