import type { Bench } from "./Bench.js";
import type { ControlCost } from "./ControlCost.js";
import { fitLine } from "./fitLine.js";
import type { Line } from "./Line.js";
import { measureControl } from "./measureControl.js";
import { median } from "./median.js";

/** Instances of the fleet. */
const SIZES = [8, 32, 128, 512];

/**
 * Measures what the steer process costs by the number of instances that it hears of.
 *
 * @param options - how it is run
 * @returns one row a size, and the slopes
 */
export const benchControl: Bench = async ({ runs }) => {
    const rows: {
        readonly instances: number;
        readonly cpuPercent: number;
        readonly residentMb: number;
        readonly kbPerSecond: number;
        readonly platformPerSecond: number;
    }[] = [];
    for (const size of SIZES) {
        const samples: ControlCost[] = [];
        for (let run = 0; run < runs; run++) {
            samples.push(await measureControl(size));
        }
        const pick = (key: keyof ControlCost): number => median(samples.map(each => each[key]));
        rows.push({
            instances: size,
            cpuPercent: Number((pick("cpuPart") * 100).toFixed(2)),
            residentMb: Number(pick("residentMb").toFixed(1)),
            kbPerSecond: Number(pick("kbPerSecond").toFixed(2)),
            platformPerSecond: Number(pick("platformPerSecond").toFixed(2)),
        });
    }
    const lineOf = (key: "cpuPercent" | "residentMb" | "kbPerSecond"): Line =>
        fitLine(rows.map(row => [row.instances, row[key]] as const));
    const [cpu, resident, bytes] = [lineOf("cpuPercent"), lineOf("residentMb"), lineOf("kbPerSecond")];
    return {
        rows,
        summary: {
            cpuPercentPerInstance: cpu.slope,
            cpuPercentBase: cpu.intercept,
            cpuFit: cpu.fit,
            residentMbPerInstance: resident.slope,
            residentMbBase: resident.intercept,
            residentFit: resident.fit,
            kbPerSecondPerInstance: bytes.slope,
            kbPerSecondBase: bytes.intercept,
            bytesFit: bytes.fit,
        },
    };
};
