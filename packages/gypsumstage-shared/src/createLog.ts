import winston from "winston";
import { createLogRateLimiter } from "./createLogRateLimiter.js";
import { createLogSink } from "./createLogSink.js";
import type { Log } from "./Log.js";
import type { LogSink } from "./LogSink.js";
import { monotonicNow } from "./monotonicNow.js";

/**
 * Creates the log of a process. It writes JSON lines to standard output by default. The rate of entries is
 * limited for each event; the next entry written for the event has the number of suppressed ones in
 * `leftOut`.
 *
 * @param role - fields that are added to each entry
 * @param level - minimum level; entries below it are not written
 * @param sink - destination of the entries
 * @returns a function that writes an entry
 */
export const createLog = (
    role: Readonly<Record<string, string>>,
    level: string,
    sink: LogSink = createLogSink(),
): Log => {
    const logger = winston.createLogger({
        level,
        defaultMeta: role,
        format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
        transports: [new winston.transports.Stream({ stream: sink.stream })],
    });
    const countSuppressed = createLogRateLimiter(monotonicNow);
    return (entryLevel, event, fields) => {
        const leftOut = countSuppressed(event);
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
