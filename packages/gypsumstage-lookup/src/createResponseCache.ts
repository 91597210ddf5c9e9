import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import { createLookupResponse } from "./createLookupResponse.js";
import type { LookupError } from "./LookupError.js";
import type { LookupInput } from "./LookupInput.js";
import type { ResponseCache } from "./ResponseCache.js";

/** Answers cached for each service, which differ in the order among equal instances. */
const VARIANTS_PER_SERVICE = 16;
/** Age beyond which cached answers are created anew, even from an unchanged view. */
const MAX_AGE_MS = 100;

interface CachedAnswers {
    readonly view: SteeringView;
    readonly createdAtMs: number;
    readonly answers: readonly Result<string, LookupError>[];
}

/**
 * Creates a cache of lookup answers. Ranking the instances for each lookup would take a third of the processor time, so
 * a number of variants, each with a random order among equal instances, is created and returned round-robin.
 *
 * @param readInput - returns the current view and its time
 * @returns the cache; answers for services that are not declared are not cached
 */
export const createResponseCache = (readInput: () => LookupInput): ResponseCache => {
    const cached = new Map<string, CachedAnswers>();
    let callCount = 0;
    const serializeAnswer = (
        service: string | undefined,
        input: LookupInput,
    ): Result<string, LookupError> => {
        const answer = createLookupResponse(input, service);
        return answer.ok ? success(JSON.stringify(answer.value)) : answer;
    };
    const refresh = (service: string, input: LookupInput): CachedAnswers => {
        const answers = Array.from({ length: VARIANTS_PER_SERVICE }, () => serializeAnswer(service, input));
        const entry: CachedAnswers = { view: input.view, createdAtMs: monotonicNow(), answers };
        // Only declared services are cached, so that requests for unknown names cannot make the cache grow.
        if (answers[0]?.ok === true) {
            cached.set(service, entry);
        }
        return entry;
    };
    return {
        get: service => {
            const input = readInput();
            const existing = service === undefined ? undefined : cached.get(service);
            const isFresh = existing !== undefined && existing.view === input.view
                && monotonicNow() - existing.createdAtMs < MAX_AGE_MS;
            if (service === undefined) {
                return serializeAnswer(service, input);
            }
            const { answers } = isFresh ? existing : refresh(service, input);
            callCount += 1;
            return answers[callCount % VARIANTS_PER_SERVICE] ?? serializeAnswer(service, input);
        },
    };
};
