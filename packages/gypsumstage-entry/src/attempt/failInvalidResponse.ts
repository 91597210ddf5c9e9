import { hasNoBody } from "@gypsumstage/shared/hasNoBody";
import { isHttpStatus } from "@gypsumstage/shared/isHttpStatus";
import type { Dispatcher } from "undici";

/**
 * Lets a request fail whose response must not be passed on as a complete one. The HTTP client (undici) accepts any status of three
 * digits, and takes a response without a length as complete when its connection is reset.
 *
 * @param method - method of the request
 * @param handler - receives the response
 * @param isCutOff - returns whether a response that has ended may be a part of the whole
 * @returns the handler to use in its place
 */
export const failInvalidResponse = (
    method: string,
    handler: Dispatcher.DispatchHandler,
    isCutOff: (isEndStated: boolean) => boolean,
): Dispatcher.DispatchHandler => {
    let isEndStated = false;
    return {
        onRequestStart: (controller, context) => handler.onRequestStart?.(controller, context),
        onResponseStart: (controller, status, headers, statusText) => {
            if (!isHttpStatus(status)) {
                controller.abort(new Error(`the status ${status} is none of HTTP`));
                return;
            }
            isEndStated = headers["content-length"] !== undefined
                || headers["transfer-encoding"] !== undefined
                || hasNoBody(method, status);
            handler.onResponseStart?.(controller, status, headers, statusText);
        },
        onResponseData: (controller, chunk) => handler.onResponseData?.(controller, chunk),
        onResponseEnd: (controller, trailers) => {
            if (isCutOff(isEndStated)) {
                handler.onResponseError?.(
                    controller,
                    new Error("the connection was reset during the response"),
                );
                return;
            }
            handler.onResponseEnd?.(controller, trailers);
        },
        onResponseError: (controller, err) => handler.onResponseError?.(controller, err),
    };
};
