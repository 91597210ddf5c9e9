import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { parseIni } from "@gypsumstage/shared/parseIni";
import { sleep } from "@gypsumstage/shared/sleep";
import { request } from "undici";
import { readStatus } from "./readStatus.js";

const POLL_INTERVAL_MS = 100;
const MS_PER_SECOND = 1_000;

/**
 * Applies an intent through the administration API and waits until it is in force on all instances.
 *
 * @param steer - address of a steer process
 * @param intent - intent as INI text
 * @param timeoutSeconds - time limit, in seconds
 * @returns the accepted generation and the time from acceptance until it was in force, in milliseconds; undefined after
 * the time limit
 */
export const applyAndWait = async (
    steer: string,
    intent: string,
    timeoutSeconds: number,
): Promise<{ readonly generation: number; readonly inForceAfterMs: number; } | undefined> => {
    const deadlineAtMs = monotonicNow() + timeoutSeconds * MS_PER_SECOND;
    let accepted: { readonly generation: number; readonly atMs: number; } | undefined;
    while (monotonicNow() < deadlineAtMs) {
        accepted ??= await applyIntent(steer, intent);
        const status = accepted === undefined ? undefined : await readStatus(steer);
        if (
            accepted !== undefined && status?.verdict === "in-force" && status.accepted >= accepted.generation
        ) {
            return { generation: accepted.generation, inForceAfterMs: monotonicNow() - accepted.atMs };
        }
        await sleep(POLL_INTERVAL_MS);
    }
    return undefined;
};

const applyIntent = async (
    steer: string,
    intent: string,
): Promise<{ readonly generation: number; readonly atMs: number; } | undefined> => {
    try {
        const current = await (await request(`http://${steer}/v1/intent`)).body.json() as {
            readonly generation: number;
        };
        const body = JSON.stringify({
            sections: parseIni(intent),
            ...(current.generation > 0 ? { base: current.generation } : {}),
        });
        const res = await request(`http://${steer}/v1/intent`, {
            method: "POST",
            headers: { "content-type": "application/json" },
            body,
        });
        const responseBody = await res.body.json() as { readonly generation?: number; };
        return responseBody.generation === undefined
            ? undefined
            : { generation: responseBody.generation, atMs: monotonicNow() };
    }
    catch {
        return undefined;
    }
};
