import type { MemberRecord } from "./MemberRecord.js";

/** The newest known record of each other instance, and when it was learnt (monotonic, in milliseconds), by name. */
export type MemberTable = ReadonlyMap<
    string,
    { readonly record: MemberRecord; readonly learntAtMs: number; }
>;
