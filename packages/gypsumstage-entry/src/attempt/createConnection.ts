import type { Socket } from "node:net";
import { type buildConnector, Client } from "undici";
import { closeAfterRefusal } from "./closeAfterRefusal.js";

/**
 * Creates a connection that is closed after a refusal; it is opened again for the next request.
 *
 * @param origin - address of the endpoint or the other entry
 * @param options - settings of the HTTP client, whose `connect` is the function that opens a connection
 * @returns the connection
 */
export const createConnection = (origin: URL, options: object): Client => {
    let socket: Socket | undefined;
    const { connect } = options as { readonly connect: buildConnector.connector; };
    const client = new Client(origin, {
        ...options,
        connect: (target, callback) =>
            connect(target, (...result) => {
                socket = result[1] ?? undefined;
                callback(...result);
            }),
    });
    const dispatch = client.dispatch.bind(client);
    client.dispatch = (req, handler) => dispatch(req, closeAfterRefusal(handler, () => socket?.destroy()));
    return client;
};
