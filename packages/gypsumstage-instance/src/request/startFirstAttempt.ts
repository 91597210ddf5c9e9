import type { Route } from "@gypsumstage/domain/traffic/Route";
import { toAdmissionRequest } from "../admission/toAdmissionRequest.js";
import type { AttemptSet } from "./AttemptSet.js";
import type { AttemptStart } from "./AttemptStart.js";
import type { CallerRequest } from "./CallerRequest.js";
import type { RequestContext } from "./RequestContext.js";

/**
 * Starts the first attempt of a request. At a service with admission, the request waits in the instance while its
 * endpoints have no room or other requests precede it.
 *
 * @param ctx - provides the admission
 * @param req - the caller's request
 * @param route - the route that the request matched
 * @param service - the service that was chosen for the request
 * @param attempts - the attempts of the request, none of which has been started
 * @param deadlineAtMs - when the response is due, on the monotonic clock
 * @param callerDisconnect - resolves when the caller has closed its connection
 * @returns what came of starting the attempt
 */
export const startFirstAttempt = (
    ctx: Pick<RequestContext, "admission">,
    req: CallerRequest,
    route: Route,
    service: string,
    attempts: AttemptSet,
    deadlineAtMs: number,
    callerDisconnect: Promise<void>,
): Promise<AttemptStart> =>
    ctx.admission.isEnabled(service)
        ? ctx.admission.start(service, {
            ...toAdmissionRequest(req, route, deadlineAtMs),
            tryStart: attempts.startNext,
            mayHaveRoom: attempts.mayHaveRoom,
            abort: attempts.abort,
            callerDisconnect,
        })
        : attempts.startNext();
