import { sleep } from "@gypsumstage/shared/sleep";
import { formatSettings } from "@gypsumstage/standins/deployment/formatSettings";
import type { PlannedInstance } from "@gypsumstage/standins/deployment/PlannedInstance";
import { startRole } from "@gypsumstage/standins/deployment/startRole";
import { startPlatform } from "@gypsumstage/standins/platform/startPlatform";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { CONTROL_NETWORK } from "./CONTROL_NETWORK.js";
import type { ControlCost } from "./ControlCost.js";
import { startControlPeer } from "./startControlPeer.js";

const MEASUREMENT_SECONDS = 10;
/** Time for the process to receive the records of all instances of the fleet before the measurement starts. */
const SYNC_WAIT_MS = 4_000;
const HOST = `127.${CONTROL_NETWORK}.1.1`;
const PEER_COUNT = 4;

const readProcessMetrics = async (): Promise<
    { readonly cpuSeconds: number; readonly residentBytes: number; }
> => {
    const text = await (await fetch(`http://${HOST}:8090/metrics`)).text();
    const readMetric = (name: string): number => Number(new RegExp(`^${name} (\\S+)`, "m").exec(text)?.[1]);
    return {
        cpuSeconds: readMetric("process_cpu_seconds_total"),
        residentBytes: readMetric("process_resident_memory_bytes"),
    };
};

/**
 * Measures the resource usage of a steer process that exchanges the records of a fleet with stand-in peers.
 *
 * @param fleetSize - number of instances in the fleet
 * @returns the usage after the records have been received: averages over the measurement, and the memory at its end
 */
export const measureControl = async (fleetSize: number): Promise<ControlCost> => {
    const directory = mkdtempSync(join(tmpdir(), "gypsumstage-bench-"));
    const platform = await startPlatform(`127.${CONTROL_NETWORK}.200.1`, 7_000);
    const peers = await Promise.all(
        Array.from(
            { length: PEER_COUNT },
            (_none, index) => startControlPeer(index + 1, PEER_COUNT, fleetSize),
        ),
    );
    const instance: PlannedInstance = {
        name: "measured-1",
        launch: "l1",
        dataCentre: "dc-0",
        region: "region-0",
        host: HOST,
        entry: `${HOST}:8080`,
        peer: `${HOST}:8081`,
        metrics: `${HOST}:8082`,
        lookup: `${HOST}:8053`,
        steer: `${HOST}:8090`,
    };
    const settingsPath = join(directory, "measured.ini");
    writeFileSync(
        settingsPath,
        formatSettings(
            instance,
            platform.address,
            peers.map((_peer, index) => `127.${CONTROL_NETWORK}.2.${index + 1}:8090`),
            false,
        ),
    );
    const role = startRole(instance, "steer", settingsPath);
    try {
        await sleep(SYNC_WAIT_MS);
        const before = await readProcessMetrics();
        const bytesBefore = peers.reduce((sum, peer) => sum + peer.transferredBytes(), 0);
        const callsBefore = Object.values(platform.getCallCounts()).reduce((sum, count) => sum + count, 0);
        await sleep(MEASUREMENT_SECONDS * 1_000);
        const after = await readProcessMetrics();
        const bytes = peers.reduce((sum, peer) => sum + peer.transferredBytes(), 0) - bytesBefore;
        const calls = Object.values(platform.getCallCounts()).reduce((sum, count) => sum + count, 0)
            - callsBefore;
        return {
            cpuFraction: (after.cpuSeconds - before.cpuSeconds) / MEASUREMENT_SECONDS,
            residentMb: after.residentBytes / 1e6,
            kbPerSecond: bytes / MEASUREMENT_SECONDS / 1e3,
            platformPerSecond: calls / MEASUREMENT_SECONDS,
        };
    }
    finally {
        role.child.kill("SIGKILL");
        await role.exited;
        await Promise.all(peers.map(peer => peer.app.close()));
        await platform.stop();
        rmSync(directory, { recursive: true });
    }
};
