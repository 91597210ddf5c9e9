import type { AdmissionRequest } from "@gypsumstage/steering/traffic/AdmissionRequest";
import type { AttemptStart } from "../request/AttemptStart.js";
import type { QueuedRequest } from "./QueuedRequest.js";

/** Admission of requests under overload, for the services for which the configuration asks for it. */
export interface Admission {
    /** Whether requests of the service wait in the instance for a slot. */
    readonly isEnabled: (service: string) => boolean;
    /** Starts the first attempt of a request of a service with admission when its turn comes. */
    readonly start: (service: string, request: QueuedRequest) => Promise<AttemptStart>;
    /** Requests per slot that an endpoint may have in flight to get the request; undefined for the usual limit. */
    readonly endpointQueueLimit: (service: string, request: AdmissionRequest) => number | undefined;
    /** Tries the waiting requests of a service, because an attempt there has ended. */
    readonly wake: (service: string) => void;
    /** Waiting requests by service. */
    readonly lengths: () => Readonly<Record<string, number>>;
}
