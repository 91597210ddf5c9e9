import type { Bench } from "./Bench.js";
import type { ControlCost } from "./ControlCost.js";
import { fitLine } from "./fitLine.js";
import type { Line } from "./Line.js";
import { measureControl } from "./measureControl.js";
import { median } from "./median.js";

/** Numbers of instances in the fleet. */
const FLEET_SIZES = [8, 32, 128, 512];

/**
 * Measures the resource usage of the steer process by the number of instances whose records it receives.
 *
 * @param options - the number of runs; the seed isn't used
 * @returns medians, one row per fleet size, and the lines fitted to CPU usage, memory and traffic over the fleet size
 */
export const benchControl: Bench = async ({ runs }) => {
    const rows: {
        readonly instances: number;
        readonly cpuPercent: number;
        readonly residentMb: number;
        readonly kbPerSecond: number;
        readonly platformPerSecond: number;
    }[] = [];
    for (const fleetSize of FLEET_SIZES) {
        const samples: ControlCost[] = [];
        for (let run = 0; run < runs; run++) {
            samples.push(await measureControl(fleetSize));
        }
        const medianOf = (key: keyof ControlCost): number => median(samples.map(each => each[key]));
        rows.push({
            instances: fleetSize,
            cpuPercent: Number((medianOf("cpuFraction") * 100).toFixed(2)),
            residentMb: Number(medianOf("residentMb").toFixed(1)),
            kbPerSecond: Number(medianOf("kbPerSecond").toFixed(2)),
            platformPerSecond: Number(medianOf("platformPerSecond").toFixed(2)),
        });
    }
    const fitMetric = (key: "cpuPercent" | "residentMb" | "kbPerSecond"): Line =>
        fitLine(rows.map(row => [row.instances, row[key]] as const));
    const [cpu, resident, bytes] = [
        fitMetric("cpuPercent"),
        fitMetric("residentMb"),
        fitMetric("kbPerSecond"),
    ];
    return {
        rows,
        summary: {
            cpuPercentPerInstance: cpu.slope,
            cpuPercentBase: cpu.intercept,
            cpuFit: cpu.rSquared,
            residentMbPerInstance: resident.slope,
            residentMbBase: resident.intercept,
            residentFit: resident.rSquared,
            kbPerSecondPerInstance: bytes.slope,
            kbPerSecondBase: bytes.intercept,
            bytesFit: bytes.rSquared,
        },
    };
};
