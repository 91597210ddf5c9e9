import { invariant } from "@gypsumstage/shared/invariant";
import { sleep } from "@gypsumstage/shared/sleep";
import { createBoardPair } from "@gypsumstage/standins/deployment/createBoardPair";
import type { Deployment } from "@gypsumstage/standins/deployment/Deployment";
import { startServing } from "@gypsumstage/standins/deployment/startServing";
import type { Bench } from "./Bench.js";
import { measureRate } from "./measureRate.js";
import { median } from "./median.js";
import { startChild } from "./startChild.js";

const SECONDS = 4;
const BARE = "127.60.210.1";
const PORT = 9_100;

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
 * Measures look-ups against a bare fastify answer, and carried requests against a bare pass-through.
 *
 * @param options - how it is run
 * @returns rates and ratios
 */
export const benchThroughput: Bench = async ({ runs }) => {
    const plan = createBoardPair(60, false);
    const bare = await startChild("bareServer", [BARE, String(PORT)]);
    const pass = await startChild("passThrough", [BARE, String(PORT + 1), "round-robin", `${BARE}:${PORT}`]);
    const deployment = await startServing(plan);
    try {
        pointAtBareServer(deployment, `${BARE}:${PORT}`);
        await sleep(4_000);
        const [first] = deployment.instances;
        invariant(first, "process-failed");
        const targets = {
            bareAnswer: `http://${BARE}:${PORT}/berths/1`,
            lookup: `http://${first.lookup}/v1/lookup?service=berth-desk`,
            passThrough: `http://${BARE}:${PORT + 1}/berths/1`,
            entry: `http://${first.entry}/berths/1`,
        };
        const rates: Record<string, number[]> = {};
        for (let run = 0; run < runs; run++) {
            for (const [name, url] of Object.entries(targets)) {
                (rates[name] ??= []).push(await measureRate(url, SECONDS));
            }
        }
        const rows = Object.entries(rates).map(([name, values]) => ({
            name,
            perSecond: Math.round(median(values)),
            least: Math.round(Math.min(...values)),
            most: Math.round(Math.max(...values)),
        }));
        const of = (name: string): number => median(rates[name] ?? []);
        return {
            rows,
            summary: {
                lookupOverBare: of("lookup") / of("bareAnswer"),
                entryOverPassThrough: of("entry") / of("passThrough"),
            },
        };
    }
    finally {
        await deployment.stop();
        await pass.stop();
        await bare.stop();
    }
};
