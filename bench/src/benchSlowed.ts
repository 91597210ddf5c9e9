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

const RATE_PER_SECOND = 300;
const DURATION_MS = 2_500;
const SERVICE_TIME_MS = 20;
const SLOW_FACTOR = 10;
const PASS_THROUGH_HOST = "127.61.210.1";
const FIRST_PASS_THROUGH_PORT = 9_200;
const POLICIES = ["round-robin", "random", "least-reported"];

/**
 * Measures the latency of requests to `berth-desk` while 2 of its 14 endpoints are ten times slower and their load
 * reports contain no latency, in a deployment of the Board's size. The baselines are pass-throughs with simple load
 * balancing policies.
 *
 * @param options - the number of runs; the seed isn't used
 * @returns medians of the latencies with all endpoints healthy and with two slowed; one row for gypsumstage and one per
 * policy
 */
export const benchSlowed: Bench = async ({ runs }) => {
    const deployment = await startServing(createUserPlan("board", 61, { shortMs: SERVICE_TIME_MS }));
    const deskEndpoints = deployment.upstreams.filter(upstream => upstream.name.startsWith("berth-desk-"));
    const deskAddresses = deskEndpoints.map(each => each.address).join(",");
    const passThroughs = await Promise.all(
        POLICIES.map((policy, index) =>
            startChild("passThrough", [
                PASS_THROUGH_HOST,
                String(FIRST_PASS_THROUGH_PORT + index),
                policy,
                deskAddresses,
            ])
        ),
    );
    const callers = createCallers(deployment);
    const createRequest = (index: number): CallerRequest => ({
        service: "berth-desk",
        method: "GET",
        path: `/berths/${index}`,
        id: `s-${index}`,
    });
    const directCallers = createDirectCallers(
        POLICIES.map((_policy, index) => `${PASS_THROUGH_HOST}:${FIRST_PASS_THROUGH_PORT + index}`),
    );
    const callersByPolicy: readonly (readonly [string, (index: number) => Caller])[] = [
        ["gypsumstage", index => callers[index % callers.length] as Caller],
        ...POLICIES.map((policy, position) => [policy, () => directCallers[position] as Caller] as const),
    ];
    const samples: {
        readonly name: string;
        readonly state: string;
        readonly p50: number;
        readonly p99: number;
        readonly attempts: number;
    }[] = [];
    const countStarted = (): number => deskEndpoints.reduce((sum, each) => sum + each.record().started, 0);
    try {
        for (let run = 0; run < runs; run++) {
            for (const state of ["healthy", "slowed"]) {
                deskEndpoints.slice(0, 2).forEach(each =>
                    each.setBehaviour({ slowFactor: state === "slowed" ? SLOW_FACTOR : 1 })
                );
                for (const [name, getCaller] of callersByPolicy) {
                    const startedBefore = countStarted();
                    const results = await runLoad(getCaller, {
                        ratePerSecond: RATE_PER_SECOND,
                        durationMs: DURATION_MS,
                        createRequest,
                    });
                    const { p50, p99 } = summarizeLatencies(
                        results.filter(each => each.status === 200).map(each => each.latencyMs),
                    );
                    samples.push({
                        name,
                        state,
                        p50,
                        p99,
                        attempts: (countStarted() - startedBefore) / results.length,
                    });
                }
            }
        }
    }
    finally {
        await Promise.all([...callers, ...directCallers].map(caller => caller.stop()));
        await Promise.all(passThroughs.map(child => child.stop()));
        await deployment.stop();
    }
    const medianOf = (name: string, state: string, key: "p50" | "p99" | "attempts"): number =>
        median(samples.filter(each => each.name === name && each.state === state).map(each => each[key]));
    const rows = callersByPolicy.map(([name]) => ({
        name,
        healthyP50: medianOf(name, "healthy", "p50"),
        healthyP99: medianOf(name, "healthy", "p99"),
        slowedP50: medianOf(name, "slowed", "p50"),
        slowedP99: medianOf(name, "slowed", "p99"),
        p99Ratio: Number((medianOf(name, "slowed", "p99") / medianOf(name, "healthy", "p99")).toFixed(2)),
        attemptsPerRequest: Number(medianOf(name, "slowed", "attempts").toFixed(3)),
    }));
    return {
        rows,
        summary: {
            p99Ratio: rows[0]?.p99Ratio ?? NaN,
            attemptsPerRequest: rows[0]?.attemptsPerRequest ?? NaN,
        },
    };
};
