import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { registerMetrics } from "@gypsumstage/shared/registerMetrics";
import { FRESH_RECORD_MAX_AGE_MS } from "@gypsumstage/steering/FRESH_RECORD_MAX_AGE_MS";
import type { FastifyInstance } from "fastify";
import { collectDefaultMetrics, Gauge, Registry } from "prom-client";
import type { SteerContext } from "./SteerContext.js";

const MS_PER_SECOND = 1_000;

/**
 * Registers the metrics of the steer process: configuration generation, ages of the head, the list of members and
 * the budget plan, and the number of instances with a recent record.
 *
 * @param app - the HTTP server of the steer process
 * @param context - the view and the head reads whose values are exported
 */
export const registerSteerMetrics = (app: FastifyInstance, context: SteerContext): void => {
    const registry = new Registry();
    collectDefaultMetrics({ register: registry });
    const addGauge = (name: string, help: string, readValue: () => number): void => {
        const gauge: Gauge = new Gauge({
            name,
            help,
            registers: [registry],
            collect: () => gauge.set(readValue()),
        });
    };
    const getAgeSeconds = (atMs: number | undefined): number =>
        atMs === undefined ? Infinity : (monotonicNow() - atMs) / MS_PER_SECOND;
    addGauge(
        "gypsumstage_generation",
        "Generation of the configuration held",
        () => context.store.get().configuration?.generation ?? 0,
    );
    addGauge(
        "gypsumstage_head_age_seconds",
        "Time since the accepted configuration was read from the platform",
        () => getAgeSeconds(context.headReadTracker.readAtMs()),
    );
    addGauge(
        "gypsumstage_members_age_seconds",
        "Time since the platform's list was read",
        () => getAgeSeconds(context.store.get().membersReadAtMs),
    );
    addGauge(
        "gypsumstage_plan_age_seconds",
        "Time since the budget plan was confirmed",
        () => getAgeSeconds(context.store.get().planConfirmedAtMs),
    );
    addGauge(
        "gypsumstage_instances_heard",
        "Instances heard of recently",
        () =>
            context.store.get().records.filter(record =>
                monotonicNow() - record.lastSeenAtMs < FRESH_RECORD_MAX_AGE_MS
            ).length,
    );
    registerMetrics(app, registry);
};
