import { describeError } from "@gypsumstage/shared/describeError";
import { sleep } from "@gypsumstage/shared/sleep";
import { readFileSync, writeFileSync } from "node:fs";
import { resolve } from "node:path";
import { fillInPorts } from "./fillInPorts.js";
import { writeCodeCache } from "./writeCodeCache.js";

/** Time in which the program starts and meets what is not there, in milliseconds. */
const START_MS = 1_000;
/** Time for its answers, in milliseconds. */
const ANSWER_MS = 500;

const ask = async (port: number): Promise<void> => {
    try {
        const res = await fetch(`http://127.0.0.1:${port}/`, { signal: AbortSignal.timeout(ANSWER_MS) });
        await res.arrayBuffer();
    }
    catch (err) {
        process.stderr.write(`no answer on port ${port}: ${describeError(err)}\n`);
    }
};

const main = async (): Promise<void> => {
    const [bundle, template] = process.argv.slice(2);
    if (bundle === undefined || template === undefined) {
        process.stderr.write("usage: main.js BUNDLE SETTINGS\n");
        process.exit(2);
    }
    const { text, ports } = await fillInPorts(readFileSync(template, "utf8"));
    const settings = `${bundle}.first-run`;
    writeFileSync(settings, text);
    process.argv = [process.execPath, bundle, "--config", settings];
    await writeCodeCache(resolve(bundle), async () => {
        await sleep(START_MS);
        await Promise.all(ports.map(ask));
    });
    process.exit(0);
};

await main();
