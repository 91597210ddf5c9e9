import { invariant } from "@gypsumstage/shared/invariant";
import { sleep } from "@gypsumstage/shared/sleep";
import type { Caller } from "@gypsumstage/standins/caller/Caller";
import type { CallerRequest } from "@gypsumstage/standins/caller/CallerRequest";
import { countOutcomes } from "@gypsumstage/standins/caller/countOutcomes";
import { createCallers } from "@gypsumstage/standins/caller/createCallers";
import type { LoadResult } from "@gypsumstage/standins/caller/LoadResult";
import { runLoad } from "@gypsumstage/standins/caller/runLoad";
import { postAdmin } from "@gypsumstage/standins/deployment/postAdmin";
import { readStatus } from "@gypsumstage/standins/deployment/readStatus";
import { startServing } from "@gypsumstage/standins/deployment/startServing";
import { waitFor } from "@gypsumstage/standins/deployment/waitFor";
import type { Bench } from "./Bench.js";
import { createUserPlan } from "./createUserPlan.js";
import { median } from "./median.js";

const RATE = 120;
const LONG_MS = 2_000;
const TIMEOUT_MS = 60_000;
const SCOPES = [["endpoint", "berth-desk-1"], ["dataCentre", "kutch-a"], ["region", "bharuch"]] as const;

/**
 * Measures how long drains take under load, against the longest request in flight when they start.
 *
 * @param options - how it is run
 * @returns one row a scope
 */
export const benchDrain: Bench = async ({ runs }) => {
    const deployment = await startServing(createUserPlan("board", 66, { shortMs: 20, longMs: LONG_MS }));
    const callers = createCallers(deployment);
    const [first] = deployment.instances;
    invariant(first, "process-failed");
    let isDone = false;
    const upload = Buffer.alloc(100_000, "p");
    const make = (round: number) => (index: number): CallerRequest =>
        index % 20 === 0
            ? {
                service: "document-intake",
                method: "POST",
                path: "/photographs",
                id: `d-${round}-${index}`,
                isKeyed: true,
                body: upload,
                timeoutMs: 60_000,
            }
            : { service: "berth-desk", method: "GET", path: `/berths/${index}`, id: `d-${round}-${index}` };
    const results: LoadResult[] = [];
    const load = async (): Promise<void> => {
        for (let round = 0; !isDone; round++) {
            results.push(
                ...await runLoad(index => callers[index % callers.length] as Caller, {
                    ratePerSecond: RATE,
                    durationMs: 1_000,
                    make: make(round),
                }),
            );
        }
    };
    const running = load();
    const rows: {
        readonly scope: string;
        readonly medianMs: number;
        readonly leastMs: number;
        readonly mostMs: number;
        readonly limitMs: number;
    }[] = [];
    try {
        for (const [scope, name] of SCOPES) {
            const times: number[] = [];
            for (let run = 0; run < runs; run++) {
                await sleep(2_000);
                await postAdmin(first.steer, "/v1/drains", { scope, name, isForced: true });
                const took = await waitFor(
                    async () =>
                        (await readStatus(first.steer))?.drains.some(each =>
                            each.name === name && each.state === "drained"
                        ) === true,
                    TIMEOUT_MS,
                );
                times.push(took ?? TIMEOUT_MS);
                await postAdmin(first.steer, "/v1/drains/cancel", { scope, name });
            }
            rows.push({
                scope,
                medianMs: Math.round(median(times)),
                leastMs: Math.round(Math.min(...times)),
                mostMs: Math.round(Math.max(...times)),
                limitMs: LONG_MS,
            });
        }
    }
    finally {
        isDone = true;
        await running;
        await Promise.all(callers.map(caller => caller.stop()));
        await deployment.stop();
    }
    const lost = results.filter(each => each.outcome !== "served");
    const reasons = countOutcomes(
        lost.map(each => ({ outcome: `${each.req.method} ${each.outcome} ${each.body}` })),
    );
    return { rows, summary: { requests: results.length, notServed: lost.length, ...reasons } };
};
