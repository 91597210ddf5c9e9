import type { BenchOptions } from "./BenchOptions.js";
import type { BenchReport } from "./BenchReport.js";

/** A benchmark. */
export type Bench = (options: BenchOptions) => Promise<BenchReport>;
