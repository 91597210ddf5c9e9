import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { InstanceGauges } from "./InstanceGauges.js";
import type { InstanceMetrics } from "./InstanceMetrics.js";

const LATENCY_BUCKETS_SECONDS: readonly number[] = [0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 6];
const MS_PER_SECOND = 1_000;

const toSeconds = (ms: number | undefined): number | undefined =>
    ms === undefined ? undefined : ms / MS_PER_SECOND;

const createStateGauge = (registry: Registry, readGauges: () => InstanceGauges): Gauge => {
    const gauge: Gauge = new Gauge({
        name: "gypsumstage_state",
        help: "What the instance knows and does now; figures that are not known are left out",
        labelNames: ["figure"],
        registers: [registry],
        collect: () => {
            const gauges = readGauges();
            const figures = {
                policy_version: gauges.policyVersion,
                endpoints: gauges.endpoints,
                live_peers: gauges.livePeers,
                in_flight: gauges.inFlight,
                cut_services: gauges.cutServices,
                response_bytes: gauges.responseBytes,
                cut_callers: gauges.cutCallers,
                suspect_requests: gauges.suspectRequests,
                store_age_seconds: toSeconds(gauges.storeAgeMs),
                copy_age_seconds: toSeconds(gauges.copyAgeMs),
                policy_confirmation_age_seconds: toSeconds(gauges.policyConfirmationAgeMs),
                policy_rejected: gauges.isPolicyRejected ? 1 : 0,
            };
            gauge.reset();
            for (const [figure, value] of Object.entries(figures)) {
                if (value !== undefined) {
                    gauge.set({ figure }, value);
                }
            }
        },
    });
    return gauge;
};

const createServiceGauge = (
    registry: Registry,
    name: string,
    help: string,
    readCounts: () => Readonly<Record<string, number>>,
): Gauge => {
    const gauge: Gauge = new Gauge({
        name,
        help,
        labelNames: ["service"],
        registers: [registry],
        collect: () => {
            gauge.reset();
            for (const [service, count] of Object.entries(readCounts())) {
                gauge.set({ service }, count);
            }
        },
    });
    return gauge;
};

const createLoadGauge = (registry: Registry, readGauges: () => InstanceGauges): Gauge => {
    const gauge: Gauge = new Gauge({
        name: "gypsumstage_endpoint_load",
        help:
            "Loads that endpoints stated last, by service: requests per slot, share of overloaded ones, age of the figures",
        labelNames: ["service", "figure"],
        registers: [registry],
        collect: () => {
            gauge.reset();
            for (const [service, summary] of readGauges().endpointLoads) {
                gauge.set({ service, figure: "endpoints" }, summary.endpoints);
                gauge.set({ service, figure: "mean_per_slot" }, summary.meanPerSlot);
                gauge.set({ service, figure: "max_per_slot" }, summary.maxPerSlot);
                gauge.set({ service, figure: "overloaded_share" }, summary.overloadedShare);
                gauge.set({ service, figure: "mean_age_seconds" }, summary.meanAgeMs / MS_PER_SECOND);
            }
        },
    });
    return gauge;
};

/**
 * Creates the metrics of an instance.
 *
 * @param readGauges - called on each scrape, once for each gauge
 * @returns the metrics, in a registry of their own
 */
export const createInstanceMetrics = (readGauges: () => InstanceGauges): InstanceMetrics => {
    const registry = new Registry();
    const createHistogram = (name: string, help: string, labelNames: readonly string[]): Histogram =>
        new Histogram({
            name,
            help,
            labelNames: [...labelNames],
            buckets: [...LATENCY_BUCKETS_SECONDS],
            registers: [registry],
        });
    const replies = new Counter({
        name: "gypsumstage_replies_total",
        help: "Requests answered, by service, kind, what the caller got and why",
        labelNames: ["service", "kind", "outcome", "reason"],
        registers: [registry],
    });
    const latency = createHistogram(
        "gypsumstage_reply_seconds",
        "Time from a request's arrival to its answer",
        ["service", "kind", "outcome"],
    );
    const waits = createHistogram(
        "gypsumstage_wait_seconds",
        "Time from a request's arrival to its first sending to an endpoint",
        ["service"],
    );
    const attempts = createHistogram(
        "gypsumstage_attempt_seconds",
        "Time of attempts at endpoints, by service and what came of them",
        ["service", "verdict"],
    );
    const queueWaits = createHistogram(
        "gypsumstage_queue_seconds",
        "Time that requests waited in this instance for a slot, by service and what ended the wait",
        ["service", "result"],
    );
    const rateLimitedAttempts = new Counter({
        name: "gypsumstage_rate_limited_attempts_total",
        help: "Attempts at endpoints that had stated a rate limit, by service",
        labelNames: ["service"],
        registers: [registry],
    });
    const placements = new Counter({
        name: "gypsumstage_placements_total",
        help:
            "Choices of an endpoint by the stated loads, by service and whether it was beyond the usual candidates",
        labelNames: ["service", "candidate"],
        registers: [registry],
    });
    const permits = new Counter({
        name: "gypsumstage_permits_total",
        help: "Permits for requests to rate-limited endpoints, by service and what came of them",
        labelNames: ["service", "result"],
        registers: [registry],
    });
    const usage = new Counter({
        name: "gypsumstage_quota_total",
        help: "Permits for attempts of workspaces with a usage cap, by what came of them",
        labelNames: ["result"],
        registers: [registry],
    });
    const relays = new Counter({
        name: "gypsumstage_relays_total",
        help: "Requests passed on to another instance, or by one, and what came of them",
        labelNames: ["direction", "result"],
        registers: [registry],
    });
    const confirmations = new Counter({
        name: "gypsumstage_policy_confirmations_total",
        help: "Attempts to confirm the copy of the configuration, by source and what came of them",
        labelNames: ["source", "result"],
        registers: [registry],
    });
    const storeCalls = new Counter({
        name: "gypsumstage_store_calls_total",
        help: "Calls to the store, by topic and what came of them",
        labelNames: ["topic", "call", "result"],
        registers: [registry],
    });
    const pulls = createHistogram(
        "gypsumstage_topic_pull_seconds",
        "Time of fetches of a topic from another instance, by topic and what came of them",
        ["topic", "result"],
    );
    const pulledRecords = new Counter({
        name: "gypsumstage_topic_pull_records_total",
        help: "Records received in fetches of a topic from other instances",
        labelNames: ["topic"],
        registers: [registry],
    });
    const reportGaps = createHistogram(
        "gypsumstage_report_gap_seconds",
        "Time between two reports received from the same instance",
        [],
    );
    const reportBytes = new Counter({
        name: "gypsumstage_report_bytes_total",
        help: "Bytes of reports and announcements exchanged with other instances",
        labelNames: ["direction"],
        registers: [registry],
    });
    createStateGauge(registry, readGauges);
    createServiceGauge(
        registry,
        "gypsumstage_repeats_left",
        "Second attempts that this instance may still send within the window, by service",
        () => readGauges().retriesLeft,
    );
    createServiceGauge(
        registry,
        "gypsumstage_queue_length",
        "Requests that wait in this instance for a slot, by service",
        () => readGauges().queued,
    );
    createLoadGauge(registry, readGauges);
    return {
        registry,
        recordReply: (reply, labels, tookMs) => {
            const reason = "reason" in reply ? reply.reason.split(":")[0] ?? "" : "";
            const { service, kind } = labels;
            replies.inc({ service, kind, outcome: reply.kind, reason });
            latency.observe({ service, kind, outcome: reply.kind }, tookMs / MS_PER_SECOND);
        },
        recordWait: (service, waitedMs) => waits.observe({ service }, waitedMs / MS_PER_SECOND),
        recordQueueWait: (service, result, waitedMs) =>
            queueWaits.observe({ service, result }, waitedMs / MS_PER_SECOND),
        countRateLimitedAttempt: service => rateLimitedAttempts.inc({ service }),
        countPlacement: (service, candidate) => placements.inc({ service, candidate }),
        countPermit: (service, result) => permits.inc({ service, result }),
        countUsage: result => usage.inc({ result }),
        countRelay: (direction, result) => relays.inc({ direction, result }),
        countConfirmation: (source, result) => confirmations.inc({ source, result }),
        recordAttempt: (service, classification, tookMs) =>
            attempts.observe({ service, verdict: classification }, tookMs / MS_PER_SECOND),
        recordTopicPull: (topic, result, records, tookMs) => {
            pulls.observe({ topic, result }, tookMs / MS_PER_SECOND);
            pulledRecords.inc({ topic }, records);
        },
        recordReportGap: gapMs => reportGaps.observe(gapMs / MS_PER_SECOND),
        countReportBytes: (direction, bytes) => reportBytes.inc({ direction }, bytes),
        countStoreCall: (topic, call, result) => storeCalls.inc({ topic, call, result }),
    };
};
