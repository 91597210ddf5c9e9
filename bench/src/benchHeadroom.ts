import type { Caller } from "@gypsumstage/standins/caller/Caller";
import type { CallerRequest } from "@gypsumstage/standins/caller/CallerRequest";
import { createCallers } from "@gypsumstage/standins/caller/createCallers";
import { runLoad } from "@gypsumstage/standins/caller/runLoad";
import { startServing } from "@gypsumstage/standins/deployment/startServing";
import type { Bench } from "./Bench.js";
import { createUserPlan } from "./createUserPlan.js";
import { median } from "./median.js";
import { summarizeLatencies } from "./summarizeLatencies.js";

const SERVICE_TIME_MS = 50;
const SLOTS_PER_ENDPOINT = 5;
const DURATION_MS = 2_000;
/** Loads, as fractions of the theoretical capacity. */
const LOAD_FRACTIONS = [0.5, 0.7, 0.8, 0.9, 0.95, 1.05];

/**
 * Finds the highest load at which at least 99 % of the requests to `berth-desk` are served within their latency target
 * of 150 ms. Loads are fractions of the theoretical capacity of the slots and are spread over the regions as the slots
 * are.
 *
 * @param options - the number of runs; the seed isn't used
 * @returns medians, one row per load; `headroomPart` is the highest fraction that meets the criterion, or 0
 */
export const benchHeadroom: Bench = async ({ runs }) => {
    const deployment = await startServing(createUserPlan("board", 65, { shortMs: SERVICE_TIME_MS }));
    const callers = createCallers(deployment);
    const deskEndpoints = deployment.upstreams.filter(upstream => upstream.name.startsWith("berth-desk-"));
    const capacityPerSecond = deskEndpoints.length * SLOTS_PER_ENDPOINT * 1_000 / SERVICE_TIME_MS;
    const createRequest = (index: number): CallerRequest => ({
        service: "berth-desk",
        method: "GET",
        path: `/berths/${index}`,
        id: `h-${index}`,
    });
    const rows: {
        readonly part: number;
        readonly ratePerSecond: number;
        readonly servedInTarget: number;
        readonly refused: number;
        readonly p99: number;
    }[] = [];
    try {
        for (const loadFraction of LOAD_FRACTIONS) {
            const samples: { readonly inTarget: number; readonly refused: number; readonly p99: number; }[] =
                [];
            for (let run = 0; run < runs; run++) {
                const results = await runLoad(index => callers[index % callers.length] as Caller, {
                    ratePerSecond: capacityPerSecond * loadFraction,
                    durationMs: DURATION_MS,
                    createRequest,
                });
                const served = results.filter(each => each.outcome === "served");
                const inTarget = served.filter(each => each.latencyMs <= 150).length / results.length;
                const { p99 } = summarizeLatencies(served.map(each => each.latencyMs));
                samples.push({ inTarget, refused: 1 - served.length / results.length, p99 });
            }
            rows.push({
                part: loadFraction,
                ratePerSecond: Math.round(capacityPerSecond * loadFraction),
                servedInTarget: Number(median(samples.map(each => each.inTarget)).toFixed(4)),
                refused: Number(median(samples.map(each => each.refused)).toFixed(4)),
                p99: Number(median(samples.map(each => each.p99)).toFixed(1)),
            });
        }
    }
    finally {
        await Promise.all(callers.map(caller => caller.stop()));
        await deployment.stop();
    }
    const passingFractions = rows.filter(row => row.servedInTarget >= 0.99).map(row => row.part);
    return {
        rows,
        summary: { theoreticalPerSecond: capacityPerSecond, headroomPart: Math.max(0, ...passingFractions) },
    };
};
