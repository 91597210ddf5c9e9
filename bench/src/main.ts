import { formatTable } from "@gypsumstage/ctl/formatTable";
import { invariant } from "@gypsumstage/shared/invariant";
import { cac } from "cac";
import type { Bench } from "./Bench.js";
import { benchBlocks } from "./benchBlocks.js";
import { benchControl } from "./benchControl.js";
import { benchDrain } from "./benchDrain.js";
import { benchHeadroom } from "./benchHeadroom.js";
import { benchShortBehindLong } from "./benchShortBehindLong.js";
import { benchSlowed } from "./benchSlowed.js";
import { benchSpread } from "./benchSpread.js";
import { benchThroughput } from "./benchThroughput.js";

const BENCHMARKS: Readonly<Record<string, Bench>> = {
    throughput: benchThroughput,
    slowed: benchSlowed,
    "short-behind-long": benchShortBehindLong,
    headroom: benchHeadroom,
    drain: benchDrain,
    control: benchControl,
    blocks: benchBlocks,
    spread: benchSpread,
};
const DEFAULT_RUNS = 5;

const cli = cac("bench");
cli.command("<name>", `one of ${Object.keys(BENCHMARKS).join(", ")}`)
    .option("--runs <count>", "interleaved runs of each configuration", { default: DEFAULT_RUNS })
    .option("--seed <seed>", "seed of the pseudo-random numbers", { default: 1 })
    .action(async (name: string, options: { readonly runs: number; readonly seed: number; }) => {
        const runBenchmark = BENCHMARKS[name];
        invariant(runBenchmark, "process-failed");
        const report = await runBenchmark(options);
        const [firstRow] = report.rows;
        const columns = Object.keys(firstRow ?? {});
        process.stderr.write(
            `${formatTable(columns, report.rows.map(row => columns.map(column => String(row[column]))))}\n`,
        );
        process.stdout.write(`${JSON.stringify({ name, ...options, ...report })}\n`);
        process.exit(0);
    });
cli.help();
cli.parse();
