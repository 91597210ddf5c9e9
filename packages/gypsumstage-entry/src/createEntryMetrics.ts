import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from "prom-client";
import type { EntryGaugeSource } from "./EntryGaugeSource.js";
import type { EntryMetrics } from "./EntryMetrics.js";

const LATENCY_BUCKETS_S = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30];
const SLOT_WAIT_BUCKETS_S = [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05];
const MS_PER_SECOND = 1_000;

/**
 * Creates the metrics of the entry process in a registry of their own.
 *
 * @param source - read at each scrape for the values of the gauges
 * @returns the metrics and their registry
 */
export const createEntryMetrics = (source: EntryGaugeSource): EntryMetrics => {
    const registry = new Registry();
    collectDefaultMetrics({ register: registry });
    const registers = [registry];
    const createGauge = (
        name: string,
        help: string,
        labelNames: string[],
        collect: (gauge: Gauge) => void,
    ): Gauge => {
        const gauge: Gauge = new Gauge({ name, help, labelNames, registers, collect: () => collect(gauge) });
        return gauge;
    };
    return {
        registry,
        requests: new Counter({
            name: "gypsumstage_requests_total",
            help: "Requests by class and outcome",
            labelNames: ["class", "outcome"],
            registers,
        }),
        latency: new Histogram({
            name: "gypsumstage_request_seconds",
            help: "Time to the end of the answer",
            labelNames: ["class"],
            buckets: LATENCY_BUCKETS_S,
            registers,
        }),
        slotWait: new Histogram({
            name: "gypsumstage_slot_wait_seconds",
            help: "Time waited before an endpoint was given",
            labelNames: ["service"],
            buckets: SLOT_WAIT_BUCKETS_S,
            registers,
        }),
        attempts: new Counter({
            name: "gypsumstage_attempts_total",
            help: "Attempts by what is known of them",
            labelNames: ["kind"],
            registers,
        }),
        malformed: new Counter({
            name: "gypsumstage_malformed_total",
            help: "Malformed requests",
            labelNames: ["reason"],
            registers,
        }),
        gauges: [
            createGauge(
                "gypsumstage_free_slots",
                "Free slots of endpoints",
                ["service"],
                gauge =>
                    Object.entries(source.freeSlots()).forEach(([service, count]) =>
                        gauge.set({ service }, count)
                    ),
            ),
            createGauge(
                "gypsumstage_budget_usable",
                "What this instance may use of a budget now",
                ["resource"],
                gauge => source.budgets().forEach(({ resource, usable }) => gauge.set({ resource }, usable)),
            ),
            createGauge(
                "gypsumstage_view_age_seconds",
                "Time since the steer process answered",
                [],
                gauge => gauge.set(source.viewAgeMs() / MS_PER_SECOND),
            ),
            createGauge(
                "gypsumstage_generation",
                "Generation of the configuration in force",
                [],
                gauge => gauge.set(source.generation()),
            ),
            createGauge(
                "gypsumstage_keys",
                "Idempotency keys remembered",
                [],
                gauge => gauge.set(source.keys()),
            ),
            createGauge(
                "gypsumstage_slowed_endpoints",
                "Endpoints taken for slowed",
                [],
                gauge => gauge.set(source.slowedEndpoints()),
            ),
        ],
    };
};
