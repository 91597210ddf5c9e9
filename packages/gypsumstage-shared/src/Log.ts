/** Writes one structured log entry; `event` is a stable name that operators may filter on. */
export type Log = (
    level: "debug" | "info" | "warn" | "error",
    event: string,
    fields?: Readonly<Record<string, unknown>>,
) => void;
