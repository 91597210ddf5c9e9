import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import type { DeploymentPlan } from "./DeploymentPlan.js";

const INTENT_FILE = "../../../../examples/demo/intent.ini";

/**
 * Creates the plan of the demonstration: two regions with two data centres each, and the intent of the example.
 *
 * @param network - second octet of the loopback addresses
 * @param isProxied - whether a fault-injecting proxy runs in front of the roles and the platform
 * @returns the plan
 */
export const createTwoRegionPlan = (network: number, isProxied: boolean): DeploymentPlan => ({
    network,
    isProxied,
    regions: ["kutch", "bharuch"].map(name => ({
        name,
        dataCentres: ["a", "b"].map(letter => ({ name: `${name}-${letter}`, instances: 1 })),
    })),
    services: [
        { name: "berth-desk", endpoints: 8, behaviour: { slots: 5, shortMs: 5 } },
        { name: "booking-ledger", endpoints: 8, behaviour: { slots: 3, shortMs: 20 } },
        { name: "document-intake", endpoints: 8, behaviour: { slots: 3, shortMs: 20 } },
    ],
    intent: readFileSync(fileURLToPath(new URL(INTENT_FILE, import.meta.url)), "utf8"),
});
