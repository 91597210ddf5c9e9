import winston from "winston";
import type { Log } from "./Log.js";

/**
 * Creates the log of a process: JSON lines on standard error.
 *
 * @param role - the role and instance named in each entry
 * @param level - entries below this level are dropped
 * @returns the function that writes entries
 */
export const createLog = (role: Readonly<Record<string, string>>, level: string): Log => {
    const logger = winston.createLogger({
        level,
        defaultMeta: role,
        format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
        transports: [new winston.transports.Console({ stderrLevels: ["error", "warn", "info", "debug"] })],
    });
    return (entryLevel, event, fields) => {
        logger.log({ level: entryLevel, message: event, event, ...fields });
    };
};
