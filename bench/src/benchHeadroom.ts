import type { Caller } from "@gypsumstage/standins/caller/Caller";
import type { CallerRequest } from "@gypsumstage/standins/caller/CallerRequest";
import { createCallers } from "@gypsumstage/standins/caller/createCallers";
import { runLoad } from "@gypsumstage/standins/caller/runLoad";
import { startServing } from "@gypsumstage/standins/deployment/startServing";
import type { Bench } from "./Bench.js";
import { createUserPlan } from "./createUserPlan.js";
import { median } from "./median.js";
import { summarizeLatencies } from "./summarizeLatencies.js";

const SERVICE_MS = 50;
const SLOTS = 5;
const DURATION_MS = 2_000;
const PARTS = [0.5, 0.7, 0.8, 0.9, 0.95, 1.05];

/**
 * Finds the highest load at which nearly every slot check is served within its target, as a part of what the slots
 * can carry in theory, with the load spread over the regions as the slots are.
 *
 * @returns one row a load
 */
export const benchHeadroom: Bench = async ({ runs }) => {
    const deployment = await startServing(createUserPlan("board", 65, { shortMs: SERVICE_MS }));
    const callers = createCallers(deployment);
    const desks = deployment.upstreams.filter(upstream => upstream.name.startsWith("berth-desk-"));
    const limit = desks.length * SLOTS * 1_000 / SERVICE_MS;
    const make = (index: number): CallerRequest => ({
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
        for (const part of PARTS) {
            const samples: { readonly inTarget: number; readonly refused: number; readonly p99: number; }[] =
                [];
            for (let run = 0; run < runs; run++) {
                const results = await runLoad(index => callers[index % callers.length] as Caller, {
                    ratePerSecond: limit * part,
                    durationMs: DURATION_MS,
                    make,
                });
                const served = results.filter(each => each.outcome === "served");
                const inTarget = served.filter(each => each.latencyMs <= 150).length / results.length;
                const { p99 } = summarizeLatencies(served.map(each => each.latencyMs));
                samples.push({ inTarget, refused: 1 - served.length / results.length, p99 });
            }
            rows.push({
                part,
                ratePerSecond: Math.round(limit * part),
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
    const good = rows.filter(row => row.servedInTarget >= 0.99).map(row => row.part);
    return { rows, summary: { theoreticalPerSecond: limit, headroomPart: Math.max(0, ...good) } };
};
