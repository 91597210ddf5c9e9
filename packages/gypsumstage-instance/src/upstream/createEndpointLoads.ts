import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { LoadFigure } from "@gypsumstage/steering/traffic/LoadFigure";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { ReportedLoad } from "@gypsumstage/steering/traffic/ReportedLoad";
import { updateLoadFigure } from "@gypsumstage/steering/traffic/updateLoadFigure";
import type { EndpointLoads } from "./EndpointLoads.js";

/** Age up to which an observed load is reported: two of the longest report intervals, as one report may be lost. */
const MAX_REPORTED_AGE_MS = 600;
/** Loads in one report; each takes about 40 bytes. */
const MAX_REPORTED_LOADS = 16;

const isReportedLoad = (value: unknown): value is ReportedLoad =>
    Array.isArray(value) && value.length === 5
    && value.every(each => typeof each === "number" && Number.isFinite(each) && each >= 0)
    && value[2] > 0 && value[3] > 0;

/**
 * Creates the memory of the loads that endpoints state. One instance gets few responses of each endpoint, so the instances
 * that report to each other share what they observed; a figure that was received in a report is not reported again.
 *
 * @param inFlightAt - returns the requests of this instance in flight at an endpoint
 * @returns the memory, empty
 */
export const createEndpointLoads = (inFlightAt: (id: string) => number): EndpointLoads => {
    const figures = new Map<string, LoadFigure>();
    /** Endpoints whose load this instance observed lately, the latest one last. */
    const observed = new Map<string, LoadFigure>();
    let isReported = false;
    const applied = new WeakSet<Pick<PeerReport, "loads">>();
    const record = (
        id: string,
        [running, waiting, slots, slowness, ageMs]: ReportedLoad,
        atMs: number,
    ): void => {
        const load = { running, waiting, slots, slowness };
        figures.set(id, updateLoadFigure(figures.get(id), load, atMs - ageMs, inFlightAt(id)));
    };
    const evictOld = (): void => {
        const oldestMs = monotonicNow() - MAX_REPORTED_AGE_MS;
        for (const [id, figure] of observed) {
            if (figure.statedAtMs >= oldestMs && observed.size <= MAX_REPORTED_LOADS) {
                return;
            }
            observed.delete(id);
        }
    };
    const forget = (id: string): void => {
        figures.delete(id);
        observed.delete(id);
    };
    return {
        observe: (id, load) => {
            const figure = updateLoadFigure(figures.get(id), load, monotonicNow(), inFlightAt(id));
            figures.set(id, figure);
            observed.delete(id);
            observed.set(id, figure);
            evictOld();
        },
        figure: id => figures.get(id),
        setReported: next => {
            isReported = next;
        },
        listRecent: () => {
            evictOld();
            if (!isReported || observed.size === 0) {
                return undefined;
            }
            const nowMs = monotonicNow();
            return Object.fromEntries(
                [...observed].map(([id, { load, statedAtMs }]): [string, ReportedLoad] => [
                    id,
                    [
                        load.running,
                        load.waiting,
                        load.slots,
                        load.slowness,
                        Math.round(nowMs - statedAtMs),
                    ],
                ]),
            );
        },
        size: () => figures.size,
        forget,
        keepOnly: endpoints => [...figures.keys()].filter(id => !endpoints.has(id)).forEach(forget),
        applyReport: (report, receivedAtMs) => {
            if (applied.has(report)) {
                return;
            }
            applied.add(report);
            for (const [id, load] of Object.entries(report.loads ?? {}).slice(0, MAX_REPORTED_LOADS)) {
                if (isReportedLoad(load)) {
                    record(id, load, receivedAtMs);
                }
            }
        },
    };
};
