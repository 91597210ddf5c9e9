import { chooseAtRandom } from "@gypsumstage/steering/traffic/chooseAtRandom";
import { chooseReportContacts } from "@gypsumstage/steering/traffic/chooseReportContacts";
import type { MemberRecord } from "@gypsumstage/steering/traffic/MemberRecord";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createMembership } from "../../peers/createMembership.js";
import type { Membership } from "../../peers/Membership.js";
import { createRandom } from "./createRandom.js";

const STEP_MS = 100;
const REPORT_INTERVAL_MS = 400;
const SUMMARY_INTERVAL_MS = 300;
const TIMEOUT_MS = 1_600;
const DATA_CENTRES = 9;
/** Share of the datagrams that are lost. */
const LOSS = 0.05;
/** Instances that get a notice in a round, and rounds of an instance that learns it. */
const FANOUT = 3;
const ROUNDS = 6;
/** Target: a death is known at all instances within this time. */
const MAX_DEATH_MS = 2_000;

interface ModelInstance {
    readonly membership: Membership;
    readonly record: MemberRecord;
    /** Rounds left in which it sends a notice of an instance, by name. */
    readonly pending: Map<string, number>;
    isRunning: boolean;
    isCutOff: boolean;
}

/** A fleet without sockets: messages arrive within the step or are lost; all instances know each other at the start. */
const createFleet = (size: number, seed: number): {
    readonly instances: readonly ModelInstance[];
    readonly runFor: (ms: number, until?: () => boolean) => number;
} => {
    const random = createRandom(seed);
    let nowMs = 0;
    const instances = Array.from({ length: size }, (...[, index]): ModelInstance => {
        const dataCentre = `dc-${index % DATA_CENTRES}`;
        const record: MemberRecord = {
            name: `n-${index}`,
            dataCentre,
            region: `region-${index % 3}`,
            address: `${index}:1`,
            internalAddress: `${index}`,
            incarnation: "i",
            generation: 1,
            version: 0,
            isGone: false,
            isReady: true,
        };
        const pending = new Map<string, number>();
        const membership = createMembership(
            record,
            () => TIMEOUT_MS,
            known => instances[Number(known.internalAddress)]?.membership.topic.merge(known),
            () => nowMs,
            random,
            () => undefined,
        );
        membership.topic.registerListener(name => pending.set(name, ROUNDS));
        return { membership, record, pending, isRunning: true, isCutOff: false };
    });
    const send = (
        from: ModelInstance,
        to: ModelInstance | undefined,
        deliver: (to: ModelInstance) => void,
    ): void => {
        if (to?.isRunning && from.isCutOff === to.isCutOff && random() >= LOSS) {
            deliver(to);
        }
    };
    const atAddress = (address: string): ModelInstance | undefined => instances[Number(address)];
    const sendReports = (from: ModelInstance): void => {
        const others = from.membership.records().filter(record => !record.isGone);
        const { generation, version } = from.membership.own();
        const report = {
            ...from.record,
            generation,
            version,
            isToContact: true,
            topics: {},
            storeAgeMs: undefined,
            inFlight: {},
            demand: {},
            placed: {},
            peers: [],
        };
        for (const contact of chooseReportContacts(from.record, others)) {
            send(from, atAddress(contact.internalAddress), to => to.membership.hear(report, nowMs));
        }
        for (const name of from.membership.listDoubtful(nowMs)) {
            const target = atAddress(from.membership.find(name)?.internalAddress ?? "");
            send(from, target, to =>
                send(to, from, () => {
                    const own = to.membership.own();
                    from.membership.hear({ ...report, ...own, isToContact: false }, nowMs);
                }));
        }
    };
    const sendSummaries = (from: ModelInstance): void => {
        const others = from.membership.records()
            .filter(record => record.dataCentre !== from.record.dataCentre && !record.isGone);
        const [target] = chooseAtRandom(others, 1, random);
        const message = from.membership.createSummaries({}, nowMs);
        send(from, atAddress(target?.internalAddress ?? ""), to => {
            for (const { author, dataCentre } of to.membership.receiveSummaries(message, nowMs)) {
                const source = atAddress(author);
                if (source?.isRunning && source.isCutOff === to.isCutOff) {
                    to.membership.mergeDataCentre(
                        dataCentre,
                        source.membership.readDataCentre(dataCentre),
                        nowMs,
                    );
                }
            }
        });
    };
    const sendNotices = (from: ModelInstance): void => {
        const live = from.membership.records().filter(record => from.membership.isLive(record.name, nowMs));
        const targets = chooseAtRandom(live, FANOUT, random);
        for (const [name, rounds] of from.pending) {
            const content = from.membership.topic.read(name);
            from.pending.set(name, rounds - 1);
            if (rounds <= 1) {
                from.pending.delete(name);
            }
            for (const target of targets) {
                send(from, atAddress(target.internalAddress), to => {
                    const changed = to.membership.topic.merge(content);
                    if (changed !== undefined) {
                        to.pending.set(changed, ROUNDS);
                    }
                });
            }
        }
    };
    const step = (): void => {
        nowMs += STEP_MS;
        instances.forEach((instance, index) => {
            if (!instance.isRunning) {
                return;
            }
            instance.membership.missSilent(nowMs);
            if ((nowMs / STEP_MS + index) % (REPORT_INTERVAL_MS / STEP_MS) === 0) {
                sendReports(instance);
            }
            if ((nowMs / STEP_MS + index) % (SUMMARY_INTERVAL_MS / STEP_MS) === 0) {
                sendSummaries(instance);
            }
            sendNotices(instance);
        });
    };
    for (const { membership } of instances) {
        membership.merge(instances.map(instance => instance.record), nowMs);
    }
    return {
        instances,
        runFor: (ms, until = () => false) => {
            const startedAtMs = nowMs;
            while (nowMs - startedAtMs < ms && !until()) {
                step();
            }
            return nowMs - startedAtMs;
        },
    };
};

const isLiveAt = ({ membership }: ModelInstance, name: string, nowMs: number): boolean =>
    membership.isLive(name, nowMs);

for (const [size, seed] of [[8, 1], [27, 2], [84, 3], [300, 4], [300, 5]] as const) {
    test(`in a fleet of ${size} (seed ${seed}) no instance is missed without reason, and a death is known everywhere within 2 s`, () => {
        const { instances, runFor } = createFleet(size, seed);
        let nowMs = runFor(8_000);
        const countMissed = (): number =>
            instances.reduce(
                (sum, { membership }) => sum + membership.records().filter(record => record.isGone).length,
                0,
            );
        assert.equal(countMissed(), 0);
        const [dead, ...others] = instances;
        assert.ok(dead);
        dead.isRunning = false;
        const startMs = nowMs;
        const isKnown = (): boolean =>
            others.every(each => each.membership.find(dead.record.name)?.isGone === true);
        nowMs += runFor(10_000, isKnown);
        assert.ok(isKnown());
        assert.ok(nowMs - startMs <= MAX_DEATH_MS, `known after ${nowMs - startMs} ms`);
    });
}

test("an instance that was paused, and so was taken for gone, is live everywhere soon after it goes on", () => {
    const { instances, runFor } = createFleet(84, 6);
    let nowMs = runFor(4_000);
    const [paused, ...others] = instances;
    assert.ok(paused);
    paused.isRunning = false;
    nowMs += runFor(5_000);
    paused.isRunning = true;
    nowMs += runFor(2_000);
    assert.ok(others.every(each => isLiveAt(each, paused.record.name, nowMs)));
    assert.ok(others.every(each => isLiveAt(paused, each.record.name, nowMs)));
});

test("a data centre that is cut off goes on knowing its own instances, and all know each other again after the cut", () => {
    const { instances, runFor } = createFleet(84, 7);
    let nowMs = runFor(4_000);
    const inside = instances.filter(each => each.record.dataCentre === "dc-0");
    const outside = instances.filter(each => each.record.dataCentre !== "dc-0");
    const [first] = inside;
    const [other] = outside;
    assert.ok(first && other);
    inside.forEach(each => each.isCutOff = true);
    nowMs += runFor(6_000);
    assert.ok(inside.slice(1).every(each => isLiveAt(first, each.record.name, nowMs)));
    assert.ok(!isLiveAt(other, first.record.name, nowMs));
    inside.forEach(each => each.isCutOff = false);
    nowMs += runFor(5_000);
    assert.ok(instances.every(each => each === first || isLiveAt(each, first.record.name, nowMs)));
    assert.ok(outside.every(each => isLiveAt(first, each.record.name, nowMs)));
});
