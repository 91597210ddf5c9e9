import type { CapBudget } from "@gypsumstage/steering/traffic/CapBudget";
import { computeCapBudget } from "@gypsumstage/steering/traffic/computeCapBudget";
import { EMPTY_QUOTA_BUCKET } from "@gypsumstage/steering/traffic/EMPTY_QUOTA_BUCKET";
import { QUOTA_SHARE_VALIDITY_MS } from "@gypsumstage/steering/traffic/QUOTA_SHARE_VALIDITY_MS";
import { QUOTA_VOTE_VALIDITY_MS } from "@gypsumstage/steering/traffic/QUOTA_VOTE_VALIDITY_MS";
import type { QuotaBounds } from "@gypsumstage/steering/traffic/QuotaBounds";
import type { QuotaBucket } from "@gypsumstage/steering/traffic/QuotaBucket";
import type { QuotaVote } from "@gypsumstage/steering/traffic/QuotaVote";
import { refillQuotaBucket } from "@gypsumstage/steering/traffic/refillQuotaBucket";
import { setQuotaShare } from "@gypsumstage/steering/traffic/setQuotaShare";
import { createDemandCounter } from "./createDemandCounter.js";
import type { QuotaDistributor } from "./QuotaDistributor.js";
import type { QuotaGrant } from "./QuotaGrant.js";
import type { QuotaShares } from "./QuotaShares.js";
import type { UsageCap } from "./UsageCap.js";

const MS_PER_SECOND = 1_000;
/** Wait while there is no share: about the time until an issuer is replaced. */
const NO_SHARE_RETRY_AFTER_MS = 1_000;
const MIN_RETRY_AFTER_MS = 50;
/** Longest time for which permits are promised to callers that wait; callers beyond it are spread over its second half. */
const MAX_RETRY_AFTER_MS = 15_000;
/** Time for which an instance counts among those that share the permits at hand. */
const HOLDER_WINDOW_MS = 1_000;

/** The permits of one workspace at the distributor. */
interface Account {
    readonly bucket: QuotaBucket;
    /** When the permits that were promised to refused attempts are used up. */
    readonly promisedUntilMs: number;
    readonly holders: ReadonlyMap<string, number>;
}

const EMPTY_ACCOUNT: Account = { bucket: EMPTY_QUOTA_BUCKET, promisedUntilMs: 0, holders: new Map() };

/**
 * Creates the distributor of a group of workspaces.
 *
 * @param name - name of the instance
 * @param group - number of the group
 * @param bounds - returns by how much caps may be exceeded
 * @param findCap - returns the cap of a workspace in the configuration in force; undefined when it has none
 * @param listCaps - returns the caps of the group
 * @param now - the lease clock
 * @param monotonic - the monotonic clock
 * @param random - returns a random number from 0 to below 1
 * @returns the distributor, which has no shares
 */
export const createQuotaDistributor = (
    name: string,
    group: number,
    bounds: () => QuotaBounds,
    findCap: (workspace: string) => UsageCap | undefined,
    listCaps: () => readonly UsageCap[],
    now: () => number,
    monotonic: () => number,
    random: () => number,
): QuotaDistributor => {
    const accounts = new Map<string, Account>();
    const demand = createDemandCounter();
    const votes = new Map<string, { readonly vote: QuotaVote; readonly receivedAtMs: number; }>();
    let latest: (QuotaShares & { readonly sentAtMs: number; }) | undefined;
    const getBudget = (cap: UsageCap): CapBudget => {
        const own = findCap(cap.name) ?? cap;
        return computeCapBudget(
            Math.min(cap.requestsPerSecond, own.requestsPerSecond),
            Math.min(cap.burst, own.burst),
            bounds(),
        );
    };
    const getAccount = (workspace: string): Account => accounts.get(workspace) ?? EMPTY_ACCOUNT;
    const deny = (account: Account, rate: number, missed: number, nowMs: number): QuotaGrant => {
        const spacingMs = MS_PER_SECOND / rate;
        const firstMs = (1 - account.bucket.tokens) * spacingMs;
        const waitMs = Math.max(MIN_RETRY_AFTER_MS, firstMs, account.promisedUntilMs - nowMs);
        const retryAfterMs = Math.min(waitMs, MAX_RETRY_AFTER_MS * (1 + random()) / 2);
        return { kind: "denied", retryAfterMs, spacingMs: missed > 1 ? spacingMs : 0 };
    };
    return {
        issue: ({ cap, holder, waiting, prefetched, attempts, refused }) => {
            const nowMs = now();
            const account = getAccount(cap.name);
            const budget = getBudget(cap);
            const bucket = refillQuotaBucket(account.bucket, budget, nowMs, monotonic());
            const recent = [...account.holders].filter(([, atMs]) => nowMs - atMs < HOLDER_WINDOW_MS);
            const holders = new Map([...recent, [holder, nowMs] as const]);
            demand.add(cap.name, attempts, nowMs);
            const available = Math.floor(bucket.tokens);
            const fairPart = Math.floor(bucket.tokens / holders.size);
            const count = Math.min(
                available,
                waiting + Math.min(prefetched, Math.max(0, fairPart - waiting)),
            );
            const missed = Math.max(0, waiting - count) + refused;
            const rate = budget.ratePerSecond * bucket.share;
            const promisedUntilMs = rate === 0
                ? 0
                : Math.min(
                    Math.max(nowMs, account.promisedUntilMs) + missed * MS_PER_SECOND / rate,
                    nowMs + MAX_RETRY_AFTER_MS,
                );
            accounts.set(cap.name, {
                bucket: { ...bucket, tokens: bucket.tokens - count },
                promisedUntilMs,
                holders,
            });
            if (count > 0) {
                return { kind: "granted", count };
            }
            return rate === 0
                ? { kind: "denied", retryAfterMs: NO_SHARE_RETRY_AFTER_MS, spacingMs: 0 }
                : deny({ ...account, bucket }, rate, missed, nowMs);
        },
        recordVote: vote => votes.set(vote.voter, { vote, receivedAtMs: now() }),
        stamp: () =>
            latest !== undefined && now() - latest.sentAtMs < QUOTA_SHARE_VALIDITY_MS ? latest : undefined,
        createQuery: () => {
            const nowMs = now();
            for (const [voter, { receivedAtMs }] of [...votes]) {
                if (nowMs - receivedAtMs > QUOTA_VOTE_VALIDITY_MS) {
                    votes.delete(voter);
                }
            }
            return {
                distributor: name,
                group,
                ...(latest === undefined
                    ? {}
                    : { applied: { issuerId: latest.issuerId, stampMs: latest.stampMs } }),
                votes: [...votes.values()].map(each => each.vote),
                demand: demand.rates(nowMs),
            };
        },
        applyShares: (shares, sentAtMs) => {
            if (latest !== undefined && sentAtMs < latest.sentAtMs) {
                return;
            }
            latest = { ...shares, sentAtMs };
            const nowMs = now();
            const caps = new Map(listCaps().map(cap => [cap.name, cap]));
            for (const workspace of [...accounts.keys()].filter(each => !caps.has(each))) {
                accounts.delete(workspace);
            }
            for (const [workspace, cap] of caps) {
                const account = getAccount(workspace);
                const share = shares.shares[workspace] ?? shares.evenShare;
                const untilMs = sentAtMs + QUOTA_SHARE_VALIDITY_MS;
                const bucket = setQuotaShare(
                    account.bucket,
                    getBudget(cap),
                    share,
                    untilMs,
                    nowMs,
                    monotonic(),
                );
                accounts.set(workspace, { ...account, bucket });
            }
        },
    };
};
