import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import { createLookupResponse } from "./createLookupResponse.js";
import type { LookupError } from "./LookupError.js";
import type { LookupInput } from "./LookupInput.js";
import type { ResponseCache } from "./ResponseCache.js";

/** Number of responses cached for each service; they differ in the order of equally ranked instances. */
const VARIANTS_PER_SERVICE = 16;
/** Age from which cached responses are replaced, even when the view has not changed. */
const MAX_AGE_MS = 100;

interface CachedResponses {
    readonly view: SteeringView;
    readonly createdAtMs: number;
    readonly responses: readonly Result<string, LookupError>[];
}

/**
 * Creates a cache of lookup responses. Ranking the instances for each lookup would take a third of the CPU time.
 * Therefore several variants are cached, each with a random order of equally ranked instances, and returned in turn.
 *
 * @param readInput - returns the current input of the responses
 * @returns the cache; responses for services that are not declared are not cached
 */
export const createResponseCache = (readInput: () => LookupInput): ResponseCache => {
    const cached = new Map<string, CachedResponses>();
    let callCount = 0;
    const serializeResponse = (
        service: string | undefined,
        input: LookupInput,
    ): Result<string, LookupError> => {
        const response = createLookupResponse(input, service);
        return response.ok ? success(JSON.stringify(response.value)) : response;
    };
    const refresh = (service: string, input: LookupInput): CachedResponses => {
        const responses = Array.from(
            { length: VARIANTS_PER_SERVICE },
            () => serializeResponse(service, input),
        );
        const entry: CachedResponses = { view: input.view, createdAtMs: monotonicNow(), responses };
        // Only declared services are cached, so that requests for unknown names cannot make the cache grow.
        if (responses[0]?.ok === true) {
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
                return serializeResponse(service, input);
            }
            const { responses } = isFresh ? existing : refresh(service, input);
            callCount += 1;
            return responses[callCount % VARIANTS_PER_SERVICE] ?? serializeResponse(service, input);
        },
    };
};
