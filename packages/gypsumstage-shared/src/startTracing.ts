import { propagation, type Tracer } from "@opentelemetry/api";
import { W3CTraceContextPropagator } from "@opentelemetry/core";
import { OTLPTraceExporter } from "@opentelemetry/exporter-trace-otlp-http";
import { resourceFromAttributes } from "@opentelemetry/resources";
import {
    AlwaysOffSampler,
    AlwaysOnSampler,
    BatchSpanProcessor,
    NodeTracerProvider,
    ParentBasedSampler,
} from "@opentelemetry/sdk-trace-node";

/**
 * Starts the tracing of a process. Without an exporter spans are not recorded, yet the W3C context still
 * travels with each request.
 *
 * @param role - name of the role in the traces
 * @param exporter - URL of an OTLP collector, or `none`
 * @returns the tracer and the function that flushes and stops it
 */
export const startTracing = (
    role: string,
    exporter: string,
): { readonly tracer: Tracer; readonly stop: () => Promise<void>; } => {
    const isOn = exporter !== "none";
    const provider = new NodeTracerProvider({
        resource: resourceFromAttributes({ "service.name": role }),
        sampler: isOn ? new ParentBasedSampler({ root: new AlwaysOnSampler() }) : new AlwaysOffSampler(),
        spanProcessors: isOn ? [new BatchSpanProcessor(new OTLPTraceExporter({ url: exporter }))] : [],
    });
    propagation.setGlobalPropagator(new W3CTraceContextPropagator());
    return { tracer: provider.getTracer(role), stop: () => provider.shutdown() };
};
