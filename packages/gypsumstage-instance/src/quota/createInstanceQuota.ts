import type { TrafficPolicy } from "@gypsumstage/domain/traffic/TrafficPolicy";
import type { Log } from "@gypsumstage/shared/Log";
import type { Result } from "@gypsumstage/shared/Result";
import type { RpcError } from "@gypsumstage/shared/RpcError";
import { chooseQuotaDistributor } from "@gypsumstage/steering/traffic/chooseQuotaDistributor";
import { chooseQuotaIssuer } from "@gypsumstage/steering/traffic/chooseQuotaIssuer";
import { computeCapBudget } from "@gypsumstage/steering/traffic/computeCapBudget";
import { computeQuotaUnit } from "@gypsumstage/steering/traffic/computeQuotaUnit";
import { getQuotaGroup } from "@gypsumstage/steering/traffic/getQuotaGroup";
import { QUOTA_GROUPS } from "@gypsumstage/steering/traffic/QUOTA_GROUPS";
import type { QuotaBounds } from "@gypsumstage/steering/traffic/QuotaBounds";
import type { QuotaRoster } from "@gypsumstage/steering/traffic/QuotaRoster";
import { updateQuotaRoster } from "@gypsumstage/steering/traffic/updateQuotaRoster";
import { createCapIndex } from "./createCapIndex.js";
import { createQuotaDistributor } from "./createQuotaDistributor.js";
import { createQuotaIssuer } from "./createQuotaIssuer.js";
import { createQuotaVoter } from "./createQuotaVoter.js";
import { createUsageCaps } from "./createUsageCaps.js";
import type { InstanceQuota } from "./InstanceQuota.js";
import type { QuotaDistributor } from "./QuotaDistributor.js";
import type { QuotaGrant } from "./QuotaGrant.js";
import type { QuotaHandlers } from "./QuotaHandlers.js";
import type { QuotaInstance } from "./QuotaInstance.js";
import type { QuotaQuery } from "./QuotaQuery.js";

type Call = <Method extends keyof QuotaHandlers>(
    instance: QuotaInstance,
    method: Method,
    query: Parameters<QuotaHandlers[Method]>[0],
) => Promise<Result<ReturnType<QuotaHandlers[Method]>, RpcError>>;

/** What the caps need of the instance. */
interface QuotaDependencies {
    readonly self: () => QuotaInstance;
    /** Identifies this run of the process. */
    readonly runId: string;
    /** Returns the live instances, without this one. */
    readonly live: () => readonly QuotaInstance[];
    /** Whether this instance knows the others; until then it lends no part of a cap. */
    readonly isSettled: () => boolean;
    /** Returns the names of all instances of which there is a record. */
    readonly recorded: () => readonly string[];
    readonly policy: () => TrafficPolicy | undefined;
    /** Undefined where no caps are enforced. */
    readonly bounds: () => QuotaBounds | undefined;
    readonly call: Call;
    /** The lease clock. */
    readonly now: () => number;
    readonly monotonic: () => number;
    readonly random: () => number;
    readonly onDecision: (workspace: string, result: "granted" | "exceeded") => void;
    readonly log: Log;
}

const NO_CAP = { requestsPerSecond: 0, burst: 0 };
/** Time for which a distributor or issuer that did not respond is passed over. */
const FAILED_PAUSE_MS = 1_500;
const FAILED_RETRY_AFTER_MS = 1_000;
/** Time for which the distributors are kept, as ranking the instances for each attempt costs too much. */
const CHOICE_TTL_MS = 200;
/** The distributor of this group passes on the votes. */
const VOTE_GROUP = 0;

/** The instances that may be chosen, and the distributor of each group among them. */
interface Choice {
    readonly untilMs: number;
    readonly usable: readonly QuotaInstance[];
    readonly distributors: readonly QuotaInstance[];
}

/**
 * Creates the part of an instance in keeping usage caps: as a holder of permits, as a distributor of its data centre and as
 * the issuer, whenever it is chosen for these.
 *
 * @param deps - the instance, its view of the others and the calls to them
 * @returns the part, which has no permits
 */
export const createInstanceQuota = (deps: QuotaDependencies): InstanceQuota => {
    const { self, now, log } = deps;
    const ownName = self().name;
    const getBounds = (): QuotaBounds => deps.bounds() ?? { windowMs: 0, tolerance: 0, burst: 0 };
    const index = createCapIndex(deps.policy, () => deps.bounds() !== undefined);
    const failedUntilMs = new Map<string, number>();
    const voter = createQuotaVoter(ownName);
    const issuer = createQuotaIssuer(
        deps.runId,
        workspace => {
            const { requestsPerSecond, burst } = index.find(workspace) ?? NO_CAP;
            return computeCapBudget(requestsPerSecond, burst, getBounds());
        },
        now,
    );
    const distributors: readonly QuotaDistributor[] = Array.from(
        { length: QUOTA_GROUPS },
        (_, group) =>
            createQuotaDistributor(
                ownName,
                group,
                getBounds,
                index.find,
                () => index.list(group),
                now,
                deps.monotonic,
                deps.random,
            ),
    );
    const distributorOf = (group: number): QuotaDistributor => distributors[group] as QuotaDistributor;
    const handlers: QuotaHandlers = {
        "quota.issue": query => distributorOf(getQuotaGroup(query.cap.name)).issue(query),
        "quota.vote": ({ vote }) => {
            if (vote !== undefined) {
                distributorOf(VOTE_GROUP).recordVote(vote);
            }
            const stamp = distributorOf(VOTE_GROUP).stamp();
            return stamp === undefined ? {} : { issuerId: stamp.issuerId, stampMs: stamp.stampMs };
        },
        "quota.divide": issuer,
    };
    const isUsable = (instance: QuotaInstance): boolean =>
        instance.isReady && (failedUntilMs.get(instance.name) ?? 0) <= now();
    let choice: Choice | undefined;
    const choose = (): Choice => {
        if (choice !== undefined && now() < choice.untilMs) {
            return choice;
        }
        const usable = [self(), ...deps.live().filter(isUsable)];
        const find = (name: string | undefined): QuotaInstance =>
            usable.find(each => each.name === name) ?? self();
        choice = {
            untilMs: now() + CHOICE_TTL_MS,
            usable,
            distributors: distributors.map((_, group) =>
                find(chooseQuotaDistributor(self().dataCentre, group, usable))
            ),
        };
        return choice;
    };
    const findDistributor = (group: number): QuotaInstance => choose().distributors[group] ?? self();
    const call: Call = async (instance, method, query) => {
        if (instance.name === ownName) {
            const handle = handlers[method] as (query: unknown) => never;
            return { ok: true, value: handle(query) };
        }
        const res = await deps.call(instance, method, query);
        if (!res.ok) {
            failedUntilMs.set(instance.name, now() + FAILED_PAUSE_MS);
            choice = undefined;
            log("warn", "quota-query-failed", { method, peer: instance.name, error: res.error });
        }
        return res;
    };
    const query = async (params: QuotaQuery): Promise<QuotaGrant> => {
        const group = getQuotaGroup(params.cap.name);
        const res = await call(findDistributor(group), "quota.issue", params);
        const second = res.ok ? res : await call(findDistributor(group), "quota.issue", params);
        return second.ok
            ? second.value
            : { kind: "denied", retryAfterMs: FAILED_RETRY_AFTER_MS, spacingMs: 0 };
    };
    let roster: QuotaRoster | undefined;
    const isActive = (): boolean => index.hasCaps();
    return {
        caps: createUsageCaps({
            name: ownName,
            findCap: index.find,
            query,
            now,
            onDecision: deps.onDecision,
        }),
        handlers,
        vote: async () => {
            if (deps.bounds() === undefined) {
                return;
            }
            const live = [ownName, ...deps.live().map(each => each.name)];
            roster = updateQuotaRoster(roster, live, deps.recorded(), now());
            if (!isActive()) {
                return;
            }
            const vote = voter.vote(deps.isSettled() ? computeQuotaUnit(roster, now()) : 0, now());
            const params = vote === undefined ? {} : { vote };
            const res = await call(findDistributor(VOTE_GROUP), "quota.vote", params);
            if (res.ok && "issuerId" in res.value) {
                voter.recordStamp({ issuerId: res.value.issuerId, stampMs: res.value.stampMs }, now());
            }
        },
        divide: async () => {
            if (!isActive()) {
                return;
            }
            const own = distributors.filter((_, group) => findDistributor(group).name === ownName);
            if (own.length === 0) {
                return;
            }
            const { usable } = choose();
            const issuerName = chooseQuotaIssuer(usable.map(each => each.name));
            const target = usable.find(each => each.name === issuerName) ?? self();
            await Promise.all(own.map(async distributor => {
                const sentAtMs = now();
                const res = await call(target, "quota.divide", distributor.createQuery());
                if (res.ok) {
                    distributor.applyShares(res.value, sentAtMs);
                }
            }));
        },
    };
};
