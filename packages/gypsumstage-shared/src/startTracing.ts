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
 * Starts tracing in this process. Without an exporter spans are not recorded, but the W3C trace context is
 * still propagated with each request.
 *
 * @param role - `service.name` of the traces
 * @param exporter - URL of an OTLP collector, or `none`
 * @returns the tracer, and a function that flushes pending spans and stops tracing
 */
export const startTracing = (
    role: string,
    exporter: string,
): { readonly tracer: Tracer; readonly stop: () => Promise<void>; } => {
    const isExporting = exporter !== "none";
    const provider = new NodeTracerProvider({
        resource: resourceFromAttributes({ "service.name": role }),
        sampler: isExporting
            ? new ParentBasedSampler({ root: new AlwaysOnSampler() })
            : new AlwaysOffSampler(),
        spanProcessors: isExporting ? [new BatchSpanProcessor(new OTLPTraceExporter({ url: exporter }))] : [],
    });
    propagation.setGlobalPropagator(new W3CTraceContextPropagator());
    return { tracer: provider.getTracer(role), stop: () => provider.shutdown() };
};
