import { CLOCK_RATE_MARGIN_FACTOR } from "@gypsumstage/steering/CLOCK_RATE_MARGIN_FACTOR";
import type { CapBudget } from "@gypsumstage/steering/traffic/CapBudget";
import { divideCap } from "@gypsumstage/steering/traffic/divideCap";
import { QUOTA_SHARE_VALIDITY_MS } from "@gypsumstage/steering/traffic/QUOTA_SHARE_VALIDITY_MS";
import { QUOTA_VOTE_VALIDITY_MS } from "@gypsumstage/steering/traffic/QUOTA_VOTE_VALIDITY_MS";
import type { QuotaVote } from "@gypsumstage/steering/traffic/QuotaVote";
import { sumQuotaVotes } from "@gypsumstage/steering/traffic/sumQuotaVotes";
import type { QuotaDivideQuery } from "./QuotaDivideQuery.js";
import type { QuotaShares } from "./QuotaShares.js";

/** Shares are rounded down, which keeps responses short. */
const SHARE_STEPS = 10_000;

/** Relative reduction below which a share stays as it is while demand is within the cap: each one costs the permits that the distributor has in stock. */
const MIN_CHANGE = 0.2;

interface Grant extends Pick<QuotaShares, "evenShare" | "shares" | "stampMs"> {
    readonly untilMs: number;
}

interface Distributor {
    readonly demand: Readonly<Record<string, number>>;
    readonly askedAtMs: number;
    readonly grants: readonly Grant[];
}

const findLatest = ({ grants }: Distributor, workspace: string): number | undefined => {
    const latest = grants.at(-1);
    return latest?.shares[workspace] ?? latest?.evenShare;
};

const stabilize = (target: number, latest = target): number =>
    target < latest && target > (1 - MIN_CHANGE) * latest ? latest : target;

const roundDown = (share: number): number => Math.max(0, Math.floor(share * SHARE_STEPS) / SHARE_STEPS);

/** Largest share of a cap that a distributor may hold, as it may not have received the latest ones. */
const findHeld = ({ grants }: Distributor, workspace: string): number =>
    Math.max(0, ...grants.map(grant => grant.shares[workspace] ?? grant.evenShare));

const findHeldEven = ({ grants }: Distributor): number =>
    Math.max(0, ...grants.map(grant => grant.evenShare));

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

/**
 * Creates the issuer of an instance. It divides each cap, as far as instances have lent their parts to it, among the
 * distributors by demand. What a distributor may still hold is granted to no other one.
 *
 * @param issuerId - identifies this run of the process
 * @param getBudget - returns what all instances together may issue of a workspace's cap
 * @param now - the lease clock
 * @returns the function that responds to a distributor
 */
export const createQuotaIssuer = (
    issuerId: string,
    getBudget: (workspace: string) => CapBudget,
    now: () => number,
): (query: QuotaDivideQuery) => QuotaShares => {
    const votes = new Map<string, QuotaVote>();
    const groups = new Map<number, Map<string, Distributor>>();
    const recordVotes = (received: readonly QuotaVote[], nowMs: number): void => {
        for (const vote of received) {
            const known = votes.get(vote.voter);
            const isNewer = known === undefined || vote.stampMs >= known.stampMs;
            if (vote.issuerId === issuerId && vote.stampMs <= nowMs && isNewer) {
                votes.set(vote.voter, vote);
            }
        }
        for (const vote of [...votes.values()]) {
            if (vote.stampMs + QUOTA_VOTE_VALIDITY_MS < nowMs) {
                votes.delete(vote.voter);
            }
        }
    };
    const dropExpired = (distributors: Map<string, Distributor>, nowMs: number): void => {
        for (const [name, each] of [...distributors]) {
            const grants = each.grants.filter(grant => grant.untilMs > nowMs);
            const isActive = nowMs - each.askedAtMs < QUOTA_SHARE_VALIDITY_MS;
            if (grants.length === 0 && !isActive) {
                distributors.delete(name);
            }
            else {
                distributors.set(name, { ...each, grants, demand: isActive ? each.demand : {} });
            }
        }
    };
    return ({ distributor, group, applied, votes: received, demand }) => {
        const nowMs = now();
        recordVotes(received, nowMs);
        const distributors = groups.get(group) ?? new Map<string, Distributor>();
        groups.set(group, distributors);
        dropExpired(distributors, nowMs);
        const appliedMs = applied?.issuerId === issuerId ? applied.stampMs : -Infinity;
        const own: Distributor = {
            demand,
            askedAtMs: nowMs,
            grants: (distributors.get(distributor)?.grants ?? []).filter(grant => grant.stampMs >= appliedMs),
        };
        distributors.set(distributor, own);
        const untilMs = nowMs + QUOTA_SHARE_VALIDITY_MS * CLOCK_RATE_MARGIN_FACTOR;
        const total = sumQuotaVotes(votes.values(), untilMs);
        const all = [...distributors.values()];
        const others = all.filter(each => each !== own);
        const active = all.filter(each => nowMs - each.askedAtMs < QUOTA_SHARE_VALIDITY_MS);
        const listed = new Set(
            all.flatMap(each => [
                ...Object.keys(each.demand),
                ...each.grants.flatMap(grant => Object.keys(grant.shares)),
            ]),
        );
        const grantShare = (workspace: string): number => {
            const budget = getBudget(workspace);
            const demands = active.map(each => each.demand[workspace] ?? 0);
            const target = divideCap(total, budget, demands)[active.indexOf(own)] ?? 0;
            const isOver = sum(demands) > budget.ratePerSecond * total;
            const wanted = isOver ? target : stabilize(target, findLatest(own, workspace));
            return roundDown(Math.min(wanted, total - sum(others.map(each => findHeld(each, workspace)))));
        };
        const shares = Object.fromEntries([...listed].map(workspace => [workspace, grantShare(workspace)]));
        const evenShare = roundDown(Math.min(total / active.length, total - sum(others.map(findHeldEven))));
        distributors.set(distributor, {
            ...own,
            grants: [...own.grants, { evenShare, shares, stampMs: nowMs, untilMs }],
        });
        return { issuerId, stampMs: nowMs, evenShare, shares };
    };
};
