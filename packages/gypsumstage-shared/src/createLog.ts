import winston from "winston";
import { createLogRateLimiter } from "./createLogRateLimiter.js";
import { createLogSink } from "./createLogSink.js";
import type { Log } from "./Log.js";
import type { LogSink } from "./LogSink.js";
import { monotonicNow } from "./monotonicNow.js";

/**
 * Creates the log of a process. It writes JSON lines to standard output by default. The rate of entries is
 * limited for each event; the field `leftOut` of an entry is the number of entries of the same event that
 * were suppressed since the last one written.
 *
 * @param defaultFields - fields that are added to each entry
 * @param level - minimum level; entries below it are not written
 * @param sink - destination of the entries
 * @returns a function that writes an entry
 */
export const createLog = (
    defaultFields: Readonly<Record<string, string>>,
    level: string,
    sink: LogSink = createLogSink(),
): Log => {
    const logger = winston.createLogger({
        level,
        defaultMeta: defaultFields,
        format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
        transports: [new winston.transports.Stream({ stream: sink.stream })],
    });
    const admitEntry = createLogRateLimiter(monotonicNow);
    return (entryLevel, event, fields) => {
        const leftOut = admitEntry(event);
        if (leftOut === undefined) {
            return;
        }
        const dropped = sink.takeDroppedCount();
        logger.log({
            level: entryLevel,
            message: event,
            event,
            ...fields,
            ...(leftOut > 0 ? { leftOut } : {}),
            ...(dropped > 0 ? { dropped } : {}),
        });
    };
};
