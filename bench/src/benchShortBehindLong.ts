import { invariant } from "@gypsumstage/shared/invariant";
import type { Caller } from "@gypsumstage/standins/caller/Caller";
import type { CallerRequest } from "@gypsumstage/standins/caller/CallerRequest";
import { createCallers } from "@gypsumstage/standins/caller/createCallers";
import { runLoad } from "@gypsumstage/standins/caller/runLoad";
import { startServing } from "@gypsumstage/standins/deployment/startServing";
import type { Bench } from "./Bench.js";
import { createDirectCallers } from "./createDirectCallers.js";
import { createUserPlan } from "./createUserPlan.js";
import { median } from "./median.js";
import { startChild } from "./startChild.js";
import { summarizeLatencies } from "./summarizeLatencies.js";

const SHORT_RATE_PER_SECOND = 150;
const LONG_RATE_PER_SECOND = 12;
const DURATION_MS = 4_000;
const SHORT_REQUEST_MS = 20;
const LONG_REQUEST_MS = 1_500;
const UPLOAD_BODY = Buffer.alloc(100_000, "p");
const PASS_THROUGH_HOST = "127.62.210.1";
const PASS_THROUGH_PORT = 9_300;

/**
 * Measures the latency of short album reads with and without long uploads at the same endpoints, in a deployment of the
 * Co-operative's size. The baseline is a pass-through that reserves no capacity for short requests.
 *
 * @param options - the number of runs; the seed isn't used
 * @returns medians of the 99th percentile and of the refused fraction, one row for gypsumstage and one for the baseline
 */
export const benchShortBehindLong: Bench = async ({ runs }) => {
    const deployment = await startServing(
        createUserPlan("cooperative", 62, { shortMs: SHORT_REQUEST_MS, longMs: LONG_REQUEST_MS }),
    );
    const albumEndpoints = deployment.upstreams.filter(upstream => upstream.name.startsWith("albums-"));
    const passThrough = await startChild("passThrough", [
        PASS_THROUGH_HOST,
        String(PASS_THROUGH_PORT),
        "round-robin",
        albumEndpoints.map(each => each.address).join(","),
    ]);
    const callers = createCallers(deployment);
    const [directCaller] = createDirectCallers([`${PASS_THROUGH_HOST}:${PASS_THROUGH_PORT}`]);
    invariant(directCaller, "process-failed");
    const createRead = (index: number): CallerRequest => ({
        service: "albums",
        method: "GET",
        path: `/albums/${index}`,
        id: `r-${index}`,
    });
    const createUpload = (idPrefix: string) => (index: number): CallerRequest => ({
        service: "albums",
        method: "POST",
        path: "/albums",
        id: `${idPrefix}-${index}`,
        isKeyed: true,
        body: UPLOAD_BODY,
        timeoutMs: 30_000,
    });
    const callersByName = {
        gypsumstage: (index: number) => callers[index % callers.length] as Caller,
        "no reserve": () => directCaller,
    };
    const samples: {
        readonly name: string;
        readonly state: string;
        readonly p99: number;
        readonly refused: number;
        readonly long: number;
    }[] = [];
    try {
        for (let run = 0; run < runs; run++) {
            for (const state of ["alone", "with long"]) {
                for (const [name, getCaller] of Object.entries(callersByName)) {
                    const longLoad = runLoad(getCaller, {
                        ratePerSecond: state === "alone" ? 0 : LONG_RATE_PER_SECOND,
                        durationMs: DURATION_MS,
                        createRequest: createUpload(`${name}-${run}`),
                    });
                    const results = await runLoad(getCaller, {
                        ratePerSecond: SHORT_RATE_PER_SECOND,
                        durationMs: DURATION_MS,
                        createRequest: createRead,
                    });
                    const served = results.filter(each => each.status === 200);
                    const longServed = (await longLoad).filter(each => each.status === 200).length;
                    const { p99 } = summarizeLatencies(served.map(each => each.latencyMs));
                    samples.push({
                        name,
                        state,
                        p99,
                        refused: (results.length - served.length) / results.length,
                        long: longServed,
                    });
                }
            }
        }
    }
    finally {
        await Promise.all([...callers, directCaller].map(caller => caller.stop()));
        await passThrough.stop();
        await deployment.stop();
    }
    const medianOf = (name: string, state: string, key: "p99" | "refused" | "long"): number =>
        median(samples.filter(each => each.name === name && each.state === state).map(each => each[key]));
    const rows = Object.keys(callersByName).map(name => ({
        name,
        aloneP99: medianOf(name, "alone", "p99"),
        withLongP99: medianOf(name, "with long", "p99"),
        p99Ratio: Number((medianOf(name, "with long", "p99") / medianOf(name, "alone", "p99")).toFixed(2)),
        refusedPart: Number(medianOf(name, "with long", "refused").toFixed(4)),
        longServed: medianOf(name, "with long", "long"),
        longSent: LONG_RATE_PER_SECOND * DURATION_MS / 1_000,
    }));
    return { rows, summary: { p99Ratio: rows[0]?.p99Ratio ?? NaN, baselineRatio: rows[1]?.p99Ratio ?? NaN } };
};
