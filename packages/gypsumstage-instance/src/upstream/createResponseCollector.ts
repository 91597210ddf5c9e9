import { hasNoBody } from "@gypsumstage/shared/hasNoBody";
import type { IncomingHttpHeaders } from "node:http";
import type { ResponseCollector } from "./ResponseCollector.js";
import type { ResponseFlow } from "./ResponseFlow.js";
import type { ResponseMemory } from "./ResponseMemory.js";
import type { UpstreamConnection } from "./UpstreamConnection.js";

const STATUS_OK = 200;
/** Largest response body that is buffered. */
const MAX_BODY_BYTES = 16_777_216;
/**
 * Bytes that may arrive before the final response head is parsed: larger than a head with the library's limit on headers
 * together with the part of the body that one read may return with it.
 */
const MAX_HEAD_BYTES = 262_144;
/** Memory of the object that holds one received piece of a body, in addition to its bytes. */
const PIECE_OVERHEAD_BYTES = 256;
/** Bytes on the connection allowed for each byte of a body; a chunk of one byte takes up 6. */
const MAX_FRAMING_FACTOR = 6;

const isEndStated = (method: string, status: number, headers: IncomingHttpHeaders): boolean =>
    headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined
    || hasNoBody(method, status);

/**
 * Creates the collector of the next response on a connection. An endpoint may send a head or a body without end, so both
 * are limited. The bytes on the connection are counted too, because the client library (undici) neither reports nor limits
 * interim responses, status lines, empty lines and chunk extensions.
 *
 * @param connection - the connection on which the response arrives
 * @param memory - memory that the responses being received share
 * @param onLimitExceeded - called with the reason when the response exceeds a limit; may be called more than once
 * @param flow - pauses and resumes the reading of the response
 * @returns the collector, with nothing collected
 */
export const createResponseCollector = (
    connection: UpstreamConnection,
    memory: ResponseMemory,
    onLimitExceeded: (reason: string) => void,
    flow: Omit<ResponseFlow, "canPause">,
): ResponseCollector => {
    let status = 0;
    let headers: IncomingHttpHeaders = {};
    let bodyBytes = 0;
    const pieces: Buffer[] = [];
    const reservation = memory.open(() => onLimitExceeded("no memory left for the response"), {
        ...flow,
        // The client library (undici) fails on the end of a connection that ends its response while the reading is paused.
        canPause: () =>
            headers["content-length"] !== undefined && String(headers.connection).toLowerCase() !== "close",
    });
    const receivedBefore = connection.receivedBytes();
    connection.setReceiveListener(() => {
        const receivedBytes = connection.receivedBytes() - receivedBefore;
        if (receivedBytes > MAX_HEAD_BYTES + MAX_FRAMING_FACTOR * bodyBytes) {
            onLimitExceeded(status === 0 ? "response head too large" : "response framing too large");
        }
    });
    return {
        addHead: (nextStatus, nextHeaders) => {
            if (nextStatus >= STATUS_OK) {
                status = nextStatus;
                headers = nextHeaders;
            }
        },
        addPiece: piece => {
            bodyBytes += piece.length;
            if (bodyBytes > MAX_BODY_BYTES) {
                onLimitExceeded("response body too large");
                return;
            }
            pieces.push(piece);
            reservation.grow(piece.length + PIECE_OVERHEAD_BYTES);
        },
        finish: method => ({
            kind: "answered",
            status,
            headers,
            body: Buffer.concat(pieces),
            isEndStated: isEndStated(method, status, headers),
            isFirstOnConnection: connection.takeIsFirst(),
        }),
        close: () => {
            connection.setReceiveListener(() => undefined);
            pieces.length = 0;
            headers = {};
            reservation.close();
        },
    };
};
