import { invariant } from "@gypsumstage/shared/invariant";
import { sleep } from "@gypsumstage/shared/sleep";
import { createTwoRegionPlan } from "@gypsumstage/standins/deployment/createTwoRegionPlan";
import type { Deployment } from "@gypsumstage/standins/deployment/Deployment";
import { startServing } from "@gypsumstage/standins/deployment/startServing";
import type { Bench } from "./Bench.js";
import { measureRate } from "./measureRate.js";
import { median } from "./median.js";
import { startChild } from "./startChild.js";

const MEASUREMENT_SECONDS = 4;
const BASELINE_HOST = "127.60.210.1";
const BASELINE_PORT = 9_100;

/** Replaces the address of every `berth-desk` endpoint in the list of members by that of the bare server. */
const pointAtBareServer = (deployment: Deployment, address: string): void => {
    deployment.platform.setMembers(
        deployment.platform.members().map(member =>
            member.kind === "upstream" && member.service === "berth-desk"
                ? { ...member, address, slots: 64, launch: "bare" }
                : member
        ),
    );
};

/**
 * Measures the throughput of lookups, compared with a bare fastify server, and of forwarded requests, compared with a
 * bare pass-through.
 *
 * @param options - the number of runs; the seed isn't used
 * @returns requests per second, one row per target, and the ratios to the baselines
 */
export const benchThroughput: Bench = async ({ runs }) => {
    const plan = createTwoRegionPlan(60, false);
    const bareServer = await startChild("bareServer", [BASELINE_HOST, String(BASELINE_PORT)]);
    const passThrough = await startChild("passThrough", [
        BASELINE_HOST,
        String(BASELINE_PORT + 1),
        "round-robin",
        `${BASELINE_HOST}:${BASELINE_PORT}`,
    ]);
    const deployment = await startServing(plan);
    try {
        pointAtBareServer(deployment, `${BASELINE_HOST}:${BASELINE_PORT}`);
        await sleep(4_000);
        const [first] = deployment.instances;
        invariant(first, "process-failed");
        const urls = {
            bareAnswer: `http://${BASELINE_HOST}:${BASELINE_PORT}/berths/1`,
            lookup: `http://${first.lookup}/v1/lookup?service=berth-desk`,
            passThrough: `http://${BASELINE_HOST}:${BASELINE_PORT + 1}/berths/1`,
            entry: `http://${first.entry}/berths/1`,
        };
        const rates: Record<string, number[]> = {};
        for (let run = 0; run < runs; run++) {
            for (const [name, url] of Object.entries(urls)) {
                (rates[name] ??= []).push(await measureRate(url, MEASUREMENT_SECONDS));
            }
        }
        const rows = Object.entries(rates).map(([name, values]) => ({
            name,
            perSecond: Math.round(median(values)),
            least: Math.round(Math.min(...values)),
            most: Math.round(Math.max(...values)),
        }));
        const medianOf = (name: string): number => median(rates[name] ?? []);
        return {
            rows,
            summary: {
                lookupOverBare: medianOf("lookup") / medianOf("bareAnswer"),
                entryOverPassThrough: medianOf("entry") / medianOf("passThrough"),
            },
        };
    }
    finally {
        await deployment.stop();
        await passThrough.stop();
        await bareServer.stop();
    }
};
