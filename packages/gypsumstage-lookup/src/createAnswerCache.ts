import type { SteeringView } from "@gypsumstage/domain/SteeringView";
import { monotonicNow } from "@gypsumstage/shared/monotonicNow";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import type { AnswerCache } from "./AnswerCache.js";
import { answerLookup } from "./answerLookup.js";
import type { LookupError } from "./LookupError.js";
import type { LookupInput } from "./LookupInput.js";

const VARIANTS = 16;
const LIFETIME_MS = 100;

interface Cached {
    readonly view: SteeringView;
    readonly madeAtMs: number;
    readonly answers: readonly Result<string, LookupError>[];
}

/**
 * Creates a cache of look-up answers. Ranking the instances for each look-up would cost a third of the processor time;
 * the order among equal instances is drawn for a number of variants instead, which are given out in turn.
 *
 * @param readInput - what the process knows now
 * @returns the cache
 */
export const createAnswerCache = (readInput: () => LookupInput): AnswerCache => {
    const cached = new Map<string, Cached>();
    let turn = 0;
    const prepare = (service: string | undefined, input: LookupInput): Result<string, LookupError> => {
        const answer = answerLookup(input, service);
        return answer.ok ? success(JSON.stringify(answer.value)) : answer;
    };
    const refresh = (service: string, input: LookupInput): Cached => {
        const answers = Array.from({ length: VARIANTS }, () => prepare(service, input));
        const made: Cached = { view: input.view, madeAtMs: monotonicNow(), answers };
        // Only declared services are kept, so that callers cannot make the cache grow.
        if (answers[0]?.ok === true) {
            cached.set(service, made);
        }
        return made;
    };
    return {
        get: service => {
            const input = readInput();
            const held = service === undefined ? undefined : cached.get(service);
            const isFresh = held !== undefined && held.view === input.view
                && monotonicNow() - held.madeAtMs < LIFETIME_MS;
            if (service === undefined) {
                return prepare(service, input);
            }
            const { answers } = isFresh ? held : refresh(service, input);
            turn += 1;
            return answers[turn % VARIANTS] ?? prepare(service, input);
        },
    };
};
