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

/** Time of one measurement, in seconds. */
const SECONDS = 10;
/** Time in which the process learns of the whole fleet, in milliseconds. */
const LEARNING_MS = 4_000;
const HOST = `127.${CONTROL_NETWORK}.1.1`;
const PEERS = 4;

const readCpuSeconds = async (): Promise<{ readonly cpu: number; readonly resident: number; }> => {
    const text = await (await fetch(`http://${HOST}:8090/metrics`)).text();
    const read = (name: string): number => Number(new RegExp(`^${name} (\\S+)`, "m").exec(text)?.[1]);
    return { cpu: read("process_cpu_seconds_total"), resident: read("process_resident_memory_bytes") };
};

/**
 * Measures what the steer process costs in a fleet of one size.
 *
 * @param size - instances of the fleet
 * @returns the cost
 */
export const measureControl = async (size: number): Promise<ControlCost> => {
    const folder = mkdtempSync(join(tmpdir(), "gypsumstage-bench-"));
    const platform = await startPlatform(`127.${CONTROL_NETWORK}.200.1`, 7_000);
    const peers = await Promise.all(
        Array.from({ length: PEERS }, (_none, index) => startControlPeer(index + 1, PEERS, size)),
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
    const file = join(folder, "measured.ini");
    writeFileSync(
        file,
        formatSettings(
            instance,
            platform.address,
            peers.map((_peer, index) => `127.${CONTROL_NETWORK}.2.${index + 1}:8090`),
            false,
        ),
    );
    const role = startRole(instance, "steer", file);
    try {
        await sleep(LEARNING_MS);
        const before = await readCpuSeconds();
        const bytesBefore = peers.reduce((sum, peer) => sum + peer.bytes(), 0);
        const callsBefore = Object.values(platform.counts()).reduce((sum, count) => sum + count, 0);
        await sleep(SECONDS * 1_000);
        const after = await readCpuSeconds();
        const bytes = peers.reduce((sum, peer) => sum + peer.bytes(), 0) - bytesBefore;
        const calls = Object.values(platform.counts()).reduce((sum, count) => sum + count, 0) - callsBefore;
        return {
            cpuPart: (after.cpu - before.cpu) / SECONDS,
            residentMb: after.resident / 1e6,
            kbPerSecond: bytes / SECONDS / 1e3,
            platformPerSecond: calls / SECONDS,
        };
    }
    finally {
        role.child.kill("SIGKILL");
        await role.ended;
        await Promise.all(peers.map(peer => peer.app.close()));
        await platform.stop();
        rmSync(folder, { recursive: true });
    }
};
