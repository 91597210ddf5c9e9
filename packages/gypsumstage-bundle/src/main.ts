import { describeError } from "@gypsumstage/shared/describeError";
import { sleep } from "@gypsumstage/shared/sleep";
import { readFileSync, writeFileSync } from "node:fs";
import { resolve } from "node:path";
import { fillInPorts } from "./fillInPorts.js";
import { writeCodeCache } from "./writeCodeCache.js";

/**
 * Time for the program to start and to run its error handling for unreachable services: none of the services that it
 * connects to runs during the build.
 */
const STARTUP_WAIT_MS = 1_000;
/** Time for the response to a request on one of the program's ports. */
const RESPONSE_TIMEOUT_MS = 500;

const sendRequest = async (port: number): Promise<void> => {
    try {
        const res = await fetch(`http://127.0.0.1:${port}/`, {
            signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
        });
        await res.arrayBuffer();
    }
    catch (err) {
        process.stderr.write(`no response on port ${port}: ${describeError(err)}\n`);
    }
};

const main = async (): Promise<void> => {
    const [bundlePath, templatePath] = process.argv.slice(2);
    if (bundlePath === undefined || templatePath === undefined) {
        process.stderr.write("usage: main.js BUNDLE SETTINGS\n");
        process.exit(2);
    }
    const { text, ports } = await fillInPorts(readFileSync(templatePath, "utf8"));
    const settingsPath = `${bundlePath}.first-run`;
    writeFileSync(settingsPath, text);
    process.argv = [process.execPath, bundlePath, "--config", settingsPath];
    await writeCodeCache(resolve(bundlePath), async () => {
        await sleep(STARTUP_WAIT_MS);
        await Promise.all(ports.map(sendRequest));
    });
    process.exit(0);
};

await main();
