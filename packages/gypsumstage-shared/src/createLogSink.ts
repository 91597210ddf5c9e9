import { fstatSync } from "node:fs";
import { Socket } from "node:net";
import { Writable } from "node:stream";
import type { LogSink } from "./LogSink.js";

const STDOUT_FD = 1;
/** Size of the output buffer above which entries are dropped. */
const MAX_BUFFERED_BYTES = 262_144;

const openStdout = (): Writable => {
    // `process.stdout` writes to pipes synchronously; a Socket on the descriptor never blocks the process.
    const stats = fstatSync(STDOUT_FD);
    return stats.isFIFO() || stats.isSocket()
        ? new Socket({ fd: STDOUT_FD, readable: false, writable: true })
        : process.stdout;
};

/**
 * Creates a log sink that drops entries instead of blocking the process when its output is not read fast
 * enough.
 *
 * @param output - the stream to write to; standard output by default
 * @returns the sink; it also counts write errors of the output as dropped entries
 */
export const createLogSink = (output: Writable = openStdout()): LogSink => {
    let dropped = 0;
    output.on("error", () => {
        dropped += 1;
    });
    const stream = new Writable({
        decodeStrings: false,
        write: (entry: string | Buffer, encoding, done) => {
            if (output.writableLength > MAX_BUFFERED_BYTES) {
                dropped += 1;
            }
            else {
                output.write(entry, encoding);
            }
            done();
        },
    });
    return {
        stream,
        takeDroppedCount: () => {
            const count = dropped;
            dropped = 0;
            return count;
        },
    };
};
