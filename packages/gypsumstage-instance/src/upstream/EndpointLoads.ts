import type { EndpointLoad } from "@gypsumstage/steering/traffic/EndpointLoad";
import type { LoadFigure } from "@gypsumstage/steering/traffic/LoadFigure";
import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";
import type { ReportedLoad } from "@gypsumstage/steering/traffic/ReportedLoad";

/** The newest load that each endpoint stated, to this instance or to one that reports to it. */
export interface EndpointLoads {
    /** Takes up a load that an endpoint stated in a response to this instance. */
    readonly observe: (id: string, load: EndpointLoad) => void;
    readonly figure: (id: string) => LoadFigure | undefined;
    /** Sets whether other instances need the loads that this one observes; initially they don't. */
    readonly setReported: (isReported: boolean) => void;
    /** The loads that this instance observed within the last few report intervals, for its reports; undefined when there are none. */
    readonly listRecent: () => Readonly<Record<string, ReportedLoad>> | undefined;
    /** Number of endpoints whose load is known. */
    readonly size: () => number;
    readonly forget: (id: string) => void;
    /** Evicts the figures of endpoints that are not among the given ones. */
    readonly keepOnly: (endpoints: ReadonlyMap<string, unknown>) => void;
    /** Takes up the loads that another instance reported; a report that was taken up before is ignored. */
    readonly applyReport: (report: Pick<PeerReport, "loads">, receivedAtMs: number) => void;
}
