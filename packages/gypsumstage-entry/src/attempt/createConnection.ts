import { registerAbnormalCloseListener } from "@gypsumstage/shared/registerAbnormalCloseListener";
import type { Socket } from "node:net";
import { type buildConnector, Client } from "undici";
import { closeAfterRefusal } from "./closeAfterRefusal.js";
import { failInvalidResponse } from "./failInvalidResponse.js";
import { trackBody } from "./trackBody.js";

/**
 * Creates a connection that is closed after a refusal; it is opened again for the next request. Responses that were cut off
 * or are none of HTTP fail.
 *
 * @param origin - address of the endpoint or the other entry
 * @param options - settings of the HTTP client, whose `connect` is the function that opens a connection
 * @returns the connection
 */
export const createConnection = (origin: URL, options: object): Client => {
    let socket: Socket | undefined;
    let isBroken = false;
    const { connect } = options as { readonly connect: buildConnector.connector; };
    const client = new Client(origin, {
        ...options,
        connect: (target, callback) =>
            connect(target, (...result) => {
                const opened = result[1] ?? undefined;
                socket = opened;
                isBroken = false;
                if (opened !== undefined) {
                    registerAbnormalCloseListener(opened, () => {
                        isBroken ||= socket === opened;
                    });
                }
                callback(...result);
            }),
    });
    const dispatch = client.dispatch.bind(client);
    client.dispatch = (req, handler) => {
        const { body, isTaken } = trackBody(req.body);
        // The end of the connection ends the response, but the endpoint has not read the request to its end.
        const isCutOff = (isEndStated: boolean): boolean => isBroken || (!isEndStated && !isTaken());
        const closing = closeAfterRefusal(handler, () => socket?.destroy());
        const { body: untracked, ...rest } = req;
        void untracked;
        return dispatch(
            { ...rest, ...(body === undefined ? {} : { body }) },
            failInvalidResponse(req.method, closing, isCutOff),
        );
    };
    return client;
};
