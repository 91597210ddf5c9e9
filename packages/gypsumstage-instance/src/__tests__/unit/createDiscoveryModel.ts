import { failure } from "@gypsumstage/shared/failure";
import { success } from "@gypsumstage/shared/success";
import { performance } from "node:perf_hooks";
import { mock } from "node:test";
import type { Discovery } from "../../discovery/Discovery.js";
import type { DiscoveryRecord } from "../../discovery/DiscoveryRecord.js";
import { startDiscovery } from "../../discovery/startDiscovery.js";
import { createRandom } from "./createRandom.js";

const STEP_MS = 10;
const STORE_MS = 10;

interface DiscoveryModel {
    readonly searches: readonly Discovery[];
    /** Number of instances that the part of each instance has, itself included. */
    readonly partSizes: () => readonly number[];
    readonly counts: () => { readonly reads: number; readonly writes: number; };
    /** Takes an instance out: it hears nobody and calls nobody. */
    readonly kill: (index: number) => void;
    readonly runFor: (ms: number) => Promise<void>;
    readonly stop: () => void;
}

/**
 * Starts the searches of several instances in virtual time. Two that reach each other are of one part from the first introduction on, and
 * the first live instance of each part reads the store for the others.
 *
 * @param size - number of instances
 * @param listed - addresses in the record at the start; an instance's address is its index
 * @param canReach - whether an instance reaches another one
 * @param canReachStore - whether an instance reaches the store
 * @returns the model
 */
export const createDiscoveryModel = (
    size: number,
    listed: readonly string[] = [],
    canReach: (from: number, to: number) => boolean = () => true,
    canReachStore: (index: number) => boolean = () => true,
): DiscoveryModel => {
    let nowMs = 0;
    let reads = 0;
    let writes = 0;
    let record: DiscoveryRecord = { addresses: listed, revision: listed.length === 0 ? undefined : 1 };
    const parts = Array.from({ length: size }, (_, index) => index);
    const dead = new Set<number>();
    mock.timers.enable({ apis: ["setTimeout"] });
    const clock = mock.method(performance, "now", () => nowMs);
    const random = mock.method(Math, "random", createRandom(size));
    const after = <Value>(getValue: () => Value): Promise<Value> =>
        new Promise(resolve => setTimeout(() => resolve(getValue()), STORE_MS));
    const unreachable = failure({ kind: "store-unreachable", reason: "silent" } as const);
    const listPart = (index: number): readonly number[] =>
        parts.flatMap((part, each) => part === parts[index] && !dead.has(each) ? [each] : []);
    const merge = (from: number, to: number): void => {
        if (to < size && !dead.has(to) && canReach(from, to)) {
            const [kept = from, dropped = to] = [parts[from], parts[to]];
            parts.forEach((part, index) => parts[index] = part === dropped ? kept : part);
        }
    };
    const searches = parts.map((...[, own]) =>
        startDiscovery({
            store: {
                read: () =>
                    after(() => {
                        reads += 1;
                        return canReachStore(own) ? success(record) : unreachable;
                    }),
                write: (addresses, revision) =>
                    after(() => {
                        writes += 1;
                        if (!canReachStore(own)) {
                            return unreachable;
                        }
                        if (revision !== record.revision) {
                            return success({ kind: "conflict", record } as const);
                        }
                        record = { addresses, revision: (record.revision ?? 0) + 1 };
                        return success({ kind: "written" } as const);
                    }),
            },
            ownAddress: String(own),
            live: () => listPart(own).filter(each => each !== own).map(String),
            isReader: () => listPart(own)[0] === own,
            introduce: addresses => addresses.forEach(address => merge(own, Number(address))),
            log: () => undefined,
        })
    );
    return {
        searches,
        partSizes: () => parts.map((...[, index]) => listPart(index).length),
        counts: () => ({ reads, writes }),
        kill: index => {
            dead.add(index);
            searches[index]?.stop();
        },
        runFor: async ms => {
            for (const untilMs = nowMs + ms; nowMs < untilMs;) {
                nowMs += STEP_MS;
                mock.timers.tick(STEP_MS);
                await new Promise(setImmediate);
            }
        },
        stop: () => {
            searches.forEach(each => each.stop());
            mock.timers.reset();
            clock.mock.restore();
            random.mock.restore();
        },
    };
};
