import type { Log } from "@gypsumstage/shared/Log";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import { chooseRelay } from "@gypsumstage/steering/traffic/chooseRelay";
import type { HeaderCodec } from "../HeaderCodec.js";
import type { InstanceMetrics } from "../InstanceMetrics.js";
import type { PeerExchange } from "../peers/PeerExchange.js";
import type { FinishedAttempt } from "../request/FinishedAttempt.js";
import type { AttemptOutcome } from "../upstream/AttemptOutcome.js";
import type { UpstreamPool } from "../upstream/UpstreamPool.js";
import { classifyRelayOutcome } from "./classifyRelayOutcome.js";
import { RELAY_HEADERS } from "./RELAY_HEADERS.js";
import type { Relays } from "./Relays.js";

/** Time for which an instance that could not be reached is not chosen again. */
const FAILED_PAUSE_MS = 1_000;

/** What the relays need of the instance. */
interface RelayDependencies {
    readonly region: string;
    readonly peers: Pick<PeerExchange, "live">;
    /** Connections to other instances. */
    readonly pool: UpstreamPool;
    readonly headerCodec: Pick<HeaderCodec, "relayHeaders">;
    /** Version of the configuration in force. */
    readonly policyVersion: () => number;
    readonly metrics: Pick<InstanceMetrics, "countRelay">;
    readonly log: Log;
}

/**
 * Creates the way to endpoints through other instances.
 *
 * @param deps - the instance's reports, connections and log
 * @returns the relays
 */
export const createRelays = (deps: RelayDependencies): Relays => {
    const { region, peers, pool, headerCodec, policyVersion, metrics, log } = deps;
    const failedUntilMs = new Map<string, number>();
    const recordOutcome = (name: string, outcome: AttemptOutcome): void => {
        if (outcome.kind === "not-sent" || outcome.kind === "broken") {
            failedUntilMs.set(name, monotonicNow() + FAILED_PAUSE_MS);
        }
        else if (outcome.kind === "answered") {
            failedUntilMs.delete(name);
        }
    };
    return {
        choose: (route, service, triedNames) => {
            const nowMs = monotonicNow();
            const failed = [...failedUntilMs].filter(([, untilMs]) => nowMs < untilMs).map(([name]) => name);
            const candidates = peers.live().flatMap(({ report }) =>
                report.relayAddress === undefined ? [] : [{ ...report, address: report.relayAddress }]
            );
            return chooseRelay(
                candidates,
                {
                    service,
                    permittedRegions: route.permittedRegions,
                    excludedNames: new Set([...triedNames, ...failed]),
                },
                region,
                Math.random,
            );
        },
        start: (req, service, relay, attemptsLeft, deadlineAtMs) => {
            const startedAtMs = monotonicNow();
            const attempt = pool.send(relay.address, {
                method: req.method,
                path: req.path,
                headers: {
                    ...req.headers,
                    ...headerCodec.relayHeaders(Math.max(1, Math.floor(deadlineAtMs - startedAtMs))),
                    [RELAY_HEADERS.policyVersion]: String(policyVersion()),
                    [RELAY_HEADERS.service]: service,
                    [RELAY_HEADERS.attemptsLeft]: String(attemptsLeft),
                    ...(req.keyDigest === undefined ? {} : { [RELAY_HEADERS.keyDigest]: req.keyDigest }),
                },
                body: req.body,
            });
            const endpointId = `instance/${relay.name}`;
            const finished = attempt.outcome.then((outcome): FinishedAttempt => {
                recordOutcome(relay.name, outcome);
                const result = classifyRelayOutcome(outcome);
                metrics.countRelay("sent", result.classification.kind);
                log("info", "request-relayed", {
                    request: req.id,
                    service,
                    relay: relay.name,
                    verdict: result.classification,
                    tookMs: Math.round(monotonicNow() - startedAtMs),
                });
                return { endpointId, outcome, ...result };
            });
            return { endpointId, finished, abort: attempt.abort };
        },
    };
};
