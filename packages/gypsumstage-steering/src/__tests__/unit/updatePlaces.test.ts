import type { Member } from "@gypsumstage/domain/Member";
import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import type { TimestampedRecord } from "@gypsumstage/domain/TimestampedRecord";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { EMPTY_VIEW } from "../../EMPTY_VIEW.js";
import { EXTRA_SLOT_DEADLINE_MS } from "../../EXTRA_SLOT_DEADLINE_MS.js";
import { listEndpoints } from "../../listEndpoints.js";
import { MEMBER_LIST_MAX_LAG_MS } from "../../MEMBER_LIST_MAX_LAG_MS.js";
import type { PlaceState } from "../../PlaceState.js";
import { PLAN_LIFETIME_MS } from "../../PLAN_LIFETIME_MS.js";
import { updatePlaces } from "../../updatePlaces.js";
import { updateView } from "../../updateView.js";

const PLACES = ["p0", "p1", "p2"];
const SLOTS = 6;
const endpoint: Member = {
    kind: "upstream",
    name: "e",
    launch: "l",
    service: "s",
    address: "",
    slots: SLOTS,
    dataCentre: "d",
    region: "r",
    state: "live",
};
const intent = {
    services: ["s"],
    classes: [],
    dataCentres: { d: "r" },
    places: Object.fromEntries(PLACES.map(place => [place, "d"])),
    links: {},
    caps: {},
};
const configuration = { generation: 1, intent, drains: [], moves: [] };

interface Process {
    readonly name: string;
    readonly launch: string;
    readonly startedAtMs: number;
    state: PlaceState;
    view: SteeringView;
    reported: Readonly<Record<string, string>>;
    /** Time until which requests on slots of unoccupied places may still run. */
    extraUntilMs: number;
    pausedUntilMs: number;
}

const createMember = (name: string, launch: string, state: Member["state"]): Member => ({
    kind: "instance",
    name,
    launch,
    state,
    dataCentre: "d",
    region: "r",
    entry: "",
    peer: "",
    lookup: "",
    steer: "",
});

const startProcess = (name: string, launch: string, nowMs: number): Process => ({
    name,
    launch,
    startedAtMs: nowMs,
    state: { acknowledged: {}, soleSinceMs: undefined, isOwner: false },
    view: { ...EMPTY_VIEW, configuration },
    reported: {},
    extraUntilMs: -1,
    pausedUntilMs: 0,
});

const createRecord = (
    process: Pick<Process, "name" | "launch" | "reported">,
    lastSeenAtMs: number,
): TimestampedRecord => ({
    name: process.name,
    launch: process.launch,
    dataCentre: "d",
    region: "r",
    sequence: lastSeenAtMs,
    generation: 1,
    lastSeenAtMs,
    entryAddress: "",
    peerAddress: "",
    steerAddress: "",
    entry: {
        incarnation: "",
        isLeaving: false,
        generation: 1,
        inFlight: {},
        freeSlots: {},
        freeLongSlots: {},
        demand: {},
        drainedInFlight: {},
        acknowledged: process.reported,
    },
});

const durationMs = fc.oneof(
    { weight: 8, arbitrary: fc.integer({ min: 0, max: 400 }) },
    { weight: 1, arbitrary: fc.integer({ min: 2_000, max: 12_000 }) },
);

const step = fc.record({
    afterMs: durationMs,
    processIndex: fc.nat(9),
    place: fc.constantFrom(...PLACES),
    action: fc.constantFrom(
        ...[
            "read",
            "receive",
            "sync-all",
            "sync-all",
            "sync-all",
            "pause",
            "kill",
            "declare-gone",
            "launch",
            "restart",
        ] as const,
    ),
    lagMs: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: MEMBER_LIST_MAX_LAG_MS - 1 })),
});

type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never;

/** Simulates a data centre: the running processes, the versions of the member list, and the view of each process. */
const createSimulation = (): {
    readonly advance: (each: Step) => void;
    readonly countUsable: () => number;
} => {
    let nowMs = 100_000;
    let launches = 0;
    let processes: readonly Process[] = PLACES.map(name => startProcess(name, "l0", nowMs));
    let lists = [{ atMs: 0, members: PLACES.map(name => createMember(name, "l0", "live")) }];
    const publish = (members: readonly Member[]): void => {
        lists = [...lists, { atMs: nowMs, members: [...members] }];
    };
    const getCurrentMembers = (): readonly Member[] => lists.at(-1)?.members ?? [];
    const isRunning = (process: Process): boolean => process.pausedUntilMs <= nowMs;
    const countSlots = (process: Process): { readonly own: number; readonly extra: number; } => {
        const view = { ...process.view, members: [...process.view.members, endpoint] };
        const [listed] = listEndpoints({
            view,
            places: process.state,
            self: { name: process.name, dataCentre: "d" },
        });
        const readAtMs = process.view.membersReadAtMs;
        const isFresh = readAtMs !== undefined && nowMs - readAtMs < PLAN_LIFETIME_MS;
        const mayUseExtraSlots = isFresh && nowMs - process.startedAtMs > MEMBER_LIST_MAX_LAG_MS
            && isRunning(process);
        return { own: listed?.ownSlots ?? 0, extra: mayUseExtraSlots ? listed?.extraSlots ?? 0 : 0 };
    };
    const refresh = (process: Process): void => {
        const self = { name: process.name, launch: process.launch, dataCentre: "d" };
        process.state = updatePlaces(process.state, { view: process.view, self, nowMs });
    };
    const readMembers = (process: Process, lagMs: number): void => {
        const visibleList = lists.findLast(list => list.atMs <= nowMs - lagMs) ?? lists[0];
        process.view = updateView(process.view, {
            kind: "members-read",
            members: visibleList?.members ?? [],
            readAtMs: nowMs,
        });
        refresh(process);
    };
    const receiveRecord = (process: Process, other: Process): void => {
        if (other === process || !isRunning(other)) {
            return;
        }
        // An entry sends an acknowledgement only when no request runs on the slots that it thereby releases.
        other.reported = nowMs >= other.extraUntilMs ? other.state.acknowledged : other.reported;
        const record = createRecord(other, nowMs);
        process.view = updateView(process.view, { kind: "records-heard", records: [record], nowMs });
        refresh(process);
    };
    const applyToProcess = (process: Process, each: Step): void => {
        const other = processes[(each.processIndex + 1) % processes.length];
        if (each.action === "read") {
            readMembers(process, each.lagMs);
        }
        else if (each.action === "receive" && other !== undefined) {
            receiveRecord(process, other);
        }
        else if (each.action === "pause") {
            process.pausedUntilMs = nowMs + each.lagMs * 3;
        }
        else if (each.action === "restart") {
            const next = startProcess(process.name, process.launch, nowMs);
            processes = processes.map(candidate => candidate === process ? next : candidate);
        }
    };
    const applyToPlace = (each: Step): void => {
        const occupants = processes.filter(process => process.name === each.place);
        if (each.action === "launch" && occupants.length < 2) {
            launches += 1;
            publish([...getCurrentMembers(), createMember(each.place, `l${launches}`, "live")]);
            processes = [...processes, startProcess(each.place, `l${launches}`, nowMs)];
        }
        else if (each.action === "declare-gone") {
            const running = new Set(occupants.map(process => process.launch));
            const isRemoved = (member: Member): boolean =>
                member.name === each.place && !running.has(member.launch);
            publish(
                getCurrentMembers().map(member => isRemoved(member) ? { ...member, state: "gone" } : member),
            );
        }
        else if (each.action === "sync-all") {
            processes.filter(isRunning).forEach((process, index) =>
                readMembers(process, index % 2 === 0 ? each.lagMs : 0)
            );
            processes.filter(isRunning).forEach(process =>
                processes.forEach(other => receiveRecord(process, other))
            );
        }
    };
    return {
        advance: each => {
            nowMs += each.afterMs;
            const process = processes[each.processIndex % Math.max(1, processes.length)];
            if (each.action === "kill") {
                processes = processes.filter(candidate => candidate !== process);
            }
            else if (process !== undefined && isRunning(process)) {
                applyToProcess(process, each);
            }
            applyToPlace(each);
        },
        countUsable: () =>
            processes.reduce((total, process) => {
                const { own, extra } = countSlots(process);
                process.extraUntilMs = extra > 0 ? nowMs + EXTRA_SLOT_DEADLINE_MS : process.extraUntilMs;
                return total + own + extra;
            }, 0),
    };
};

test("two processes never count the same slot, with replacements, pauses and lagging lists", () => {
    const histories = fc.array(step, { minLength: 30, maxLength: 150 });
    fc.assert(
        fc.property(histories, steps => {
            const simulation = createSimulation();
            for (const each of steps) {
                simulation.advance(each);
                const sum = simulation.countUsable();
                assert.ok(sum <= SLOTS, `${sum} of ${SLOTS} slots`);
            }
        }),
        { numRuns: 4_000 },
    );
});

test("instances that start together own their places as soon as they have received each other's records", () => {
    const members = PLACES.map(name => createMember(name, "l0", "live"));
    const createFreshRecord = (name: string): TimestampedRecord =>
        createRecord({ name, launch: "l0", reported: { p0: "l0" } }, 10);
    const view = {
        ...EMPTY_VIEW,
        configuration,
        members,
        membersReadAtMs: 10,
        records: [createFreshRecord("p1"), createFreshRecord("p2")],
    };
    const start: PlaceState = { acknowledged: {}, soleSinceMs: undefined, isOwner: false };
    const next = updatePlaces(start, {
        view,
        self: { name: "p0", launch: "l0", dataCentre: "d" },
        nowMs: 20,
    });
    assert.deepEqual(next, { acknowledged: { p1: "l0", p2: "l0" }, soleSinceMs: 20, isOwner: true });
});
