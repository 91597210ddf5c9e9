import type { DataCentreStatus } from "@gypsumstage/domain/DataCentreStatus";
import type { InstanceStatus } from "@gypsumstage/domain/InstanceStatus";
import type { SystemStatus } from "@gypsumstage/domain/SystemStatus";
import { formatTable } from "./formatTable.js";

const MS_PER_SECOND = 1_000;

const formatAge = (ms: number | undefined): string =>
    ms === undefined ? "never" : `${(ms / MS_PER_SECOND).toFixed(1)}s ago`;

const buildInstanceRow = (instance: InstanceStatus, dataCentre: DataCentreStatus): readonly string[] => [
    dataCentre.region,
    dataCentre.name,
    instance.name,
    instance.verdict,
    String(instance.generation ?? "-"),
    instance.verdict === "unknown" ? "?" : String(instance.behindBy ?? "?"),
    formatAge(instance.heardAgoMs),
    instance.isLeaving ? "leaving" : "",
];

/**
 * Formats the status of the system as human-readable text.
 *
 * @param status - the status as returned by the administration API
 * @returns a summary line, a table of the instances, and tables of drains and moves when there are any
 */
export const formatStatus = (status: SystemStatus): string => {
    const rows = status.dataCentres.flatMap(dataCentre =>
        dataCentre.instances.map(instance => buildInstanceRow(instance, dataCentre))
    );
    const drains = status.drains.map(
        drain => [drain.scope, drain.name, drain.state, String(drain.inFlight), drain.unheard.join(",")],
    );
    const moves = status.moves.map(move => [move.service, move.from, move.to, String(move.part)]);
    return [
        `generation ${status.accepted} is ${status.verdict} (read from the platform ${
            formatAge(status.acceptedReadAgoMs)
        })`,
        formatTable(
            ["REGION", "DATA CENTRE", "INSTANCE", "VERDICT", "GENERATION", "BEHIND", "HEARD", ""],
            rows,
        ),
        ...(drains.length === 0
            ? []
            : ["", formatTable(["DRAIN OF", "NAME", "STATE", "IN FLIGHT", "NOT HEARD OF"], drains)]),
        ...(moves.length === 0 ? [] : ["", formatTable(["MOVE OF", "FROM", "TO", "PART"], moves)]),
    ].join("\n");
};
