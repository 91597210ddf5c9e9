import type { LookupResponse } from "@gypsumstage/domain/LookupResponse";
import { failure } from "@gypsumstage/shared/failure";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import { rankInstances } from "@gypsumstage/steering/rankInstances";
import { LOOKUP_TTL_SECONDS } from "./LOOKUP_TTL_SECONDS.js";
import type { LookupError } from "./LookupError.js";
import type { LookupInput } from "./LookupInput.js";

/**
 * Creates the response to a lookup: the instances that a caller should use for a service.
 *
 * @param input - current view, and the location of this instance
 * @param service - requested service
 * @returns the response, best instance first, with the home for idempotency keys
 */
export const createLookupResponse = (
    input: LookupInput,
    service: string | undefined,
): Result<LookupResponse, LookupError> => {
    const { view, self } = input;
    if (service === undefined || service === "") {
        return failure({ kind: "service-missing" });
    }
    const { configuration } = view;
    if (configuration === undefined) {
        return failure({ kind: "nothing-known" });
    }
    if (!configuration.intent.services.includes(service)) {
        return failure({ kind: "service-unknown", service });
    }
    const ranked = rankInstances(view, self, input.viewAtMs, input.random);
    const home = ranked.find(instance => instance.incarnation !== undefined);
    return success({
        service,
        instances: ranked.map(({ address, dataCentre, region }) => ({ address, dataCentre, region })),
        home: home === undefined ? undefined : `${home.name}.${home.incarnation ?? ""}`,
        ttlSeconds: LOOKUP_TTL_SECONDS,
        generation: configuration.generation,
    });
};
