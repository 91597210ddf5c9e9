import { success } from "@gypsumstage/shared/success";
import { createOutput } from "./createOutput.js";
import type { CtlCommand } from "./CtlCommand.js";
import { formatTable } from "./formatTable.js";

interface Explanation {
    readonly route: string;
    readonly reason: string;
    readonly candidates: readonly {
        readonly instance: string;
        readonly dataCentre: string;
        readonly region: string;
        readonly freeSlots: number;
        readonly note: string;
    }[];
}

/**
 * Creates the command that explains where requests of a route are sent and why.
 *
 * @param method - the HTTP method
 * @param path - the path of the request
 * @returns the command, whose result is the reason and the candidate instances
 */
export const explainCommand = (method: string, path: string): CtlCommand => async client => {
    const query = new URLSearchParams({ method, path });
    const res = await client.get<Explanation>(`/v1/explain?${query.toString()}`);
    if (!res.ok) {
        return res;
    }
    const rows = res.value.candidates.map(
        each => [each.instance, each.dataCentre, each.region, String(each.freeSlots), each.note],
    );
    const table = formatTable(["INSTANCE", "DATA CENTRE", "REGION", "FREE SLOTS", "NOTE"], rows);
    return success(createOutput(res.value, `${res.value.route}: ${res.value.reason}\n${table}`));
};
