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

/** Rate of the load; every 20th request of a round is an upload. */
const RATE_PER_SECOND = 120;
/** Duration of an upload at its endpoint, the longest request of the load. */
const LONG_REQUEST_MS = 2_000;
const DRAIN_TIMEOUT_MS = 60_000;
const SCOPES = [["endpoint", "berth-desk-1"], ["dataCentre", "kutch-a"], ["region", "bharuch"]] as const;

/**
 * Measures how long drains of an endpoint, a data centre and a region take under load, compared with the longest
 * request that may be in flight when they start.
 *
 * @param options - the number of drains per scope; the seed isn't used
 * @returns the times, one row per scope; the summary counts the requests that weren't served, by method, outcome and
 * response body
 */
export const benchDrain: Bench = async ({ runs }) => {
    const deployment = await startServing(
        createUserPlan("board", 66, { shortMs: 20, longMs: LONG_REQUEST_MS }),
    );
    const callers = createCallers(deployment);
    const [first] = deployment.instances;
    invariant(first, "process-failed");
    let isFinished = false;
    const uploadBody = Buffer.alloc(100_000, "p");
    const createRequest = (round: number) => (index: number): CallerRequest =>
        index % 20 === 0
            ? {
                service: "document-intake",
                method: "POST",
                path: "/photographs",
                id: `d-${round}-${index}`,
                isKeyed: true,
                body: uploadBody,
                timeoutMs: 60_000,
            }
            : { service: "berth-desk", method: "GET", path: `/berths/${index}`, id: `d-${round}-${index}` };
    const results: LoadResult[] = [];
    const sendLoad = async (): Promise<void> => {
        for (let round = 0; !isFinished; round++) {
            results.push(
                ...await runLoad(index => callers[index % callers.length] as Caller, {
                    ratePerSecond: RATE_PER_SECOND,
                    durationMs: 1_000,
                    createRequest: createRequest(round),
                }),
            );
        }
    };
    const loadPromise = sendLoad();
    const rows: {
        readonly scope: string;
        readonly medianMs: number;
        readonly leastMs: number;
        readonly mostMs: number;
        readonly limitMs: number;
    }[] = [];
    try {
        for (const [scope, name] of SCOPES) {
            const timesMs: number[] = [];
            for (let run = 0; run < runs; run++) {
                await sleep(2_000);
                await postAdmin(first.steer, "/v1/drains", { scope, name, isForced: true });
                const tookMs = await waitFor(
                    async () =>
                        (await readStatus(first.steer))?.drains.some(each =>
                            each.name === name && each.state === "drained"
                        ) === true,
                    DRAIN_TIMEOUT_MS,
                );
                timesMs.push(tookMs ?? DRAIN_TIMEOUT_MS);
                await postAdmin(first.steer, "/v1/drains/cancel", { scope, name });
            }
            rows.push({
                scope,
                medianMs: Math.round(median(timesMs)),
                leastMs: Math.round(Math.min(...timesMs)),
                mostMs: Math.round(Math.max(...timesMs)),
                limitMs: LONG_REQUEST_MS,
            });
        }
    }
    finally {
        isFinished = true;
        await loadPromise;
        await Promise.all(callers.map(caller => caller.stop()));
        await deployment.stop();
    }
    const notServed = results.filter(each => each.outcome !== "served");
    const countsByOutcome = countOutcomes(
        notServed.map(each => ({ outcome: `${each.req.method} ${each.outcome} ${each.body}` })),
    );
    return { rows, summary: { requests: results.length, notServed: notServed.length, ...countsByOutcome } };
};
