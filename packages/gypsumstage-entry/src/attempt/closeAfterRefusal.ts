import { NOT_RUN_STATUSES } from "@gypsumstage/steering/traffic/NOT_RUN_STATUSES";
import { DecoratorHandler, type Dispatcher } from "undici";

/**
 * Closes the connection of a request after a refusal. A faulty endpoint may write the refusal again, which would be taken for the
 * response to the next request on the connection.
 *
 * @param handler - receives the response
 * @param closeConnection - closes the connection; called before the handler learns of the end of the response
 * @returns the handler to use in its place
 */
export const closeAfterRefusal = (
    handler: Dispatcher.DispatchHandler,
    closeConnection: () => void,
): Dispatcher.DispatchHandler => {
    const inner: Dispatcher.DispatchHandler = new DecoratorHandler(handler);
    let isRefused = false;
    return {
        onRequestStart: (controller, context) => inner.onRequestStart?.(controller, context),
        onResponseStart: (controller, status, headers, statusText) => {
            isRefused = NOT_RUN_STATUSES.includes(status);
            inner.onResponseStart?.(controller, status, headers, statusText);
        },
        onResponseData: (controller, chunk) => inner.onResponseData?.(controller, chunk),
        onResponseEnd: (controller, trailers) => {
            if (isRefused) {
                closeConnection();
            }
            inner.onResponseEnd?.(controller, trailers);
        },
        onResponseError: (controller, err) => inner.onResponseError?.(controller, err),
    };
};
