import type { BenchOptions } from "./BenchOptions.js";
import type { BenchReport } from "./BenchReport.js";

/** Runs a benchmark and resolves with its report. */
export type Bench = (options: BenchOptions) => Promise<BenchReport>;
