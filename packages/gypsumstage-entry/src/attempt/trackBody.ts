import type { Dispatcher } from "undici";

type Body = NonNullable<Dispatcher.DispatchOptions["body"]>;

const isChunks = (body: unknown): body is AsyncIterable<Buffer> =>
    typeof body === "object" && Symbol.asyncIterator in (body ?? {});

/** The body of a request, and whether the HTTP client has taken all of it. */
interface TrackedBody {
    readonly body: Body | undefined;
    readonly isTaken: () => boolean;
}

/**
 * Tracks whether the HTTP client has taken the whole body of a request for sending.
 *
 * @param body - the body; one that is no iterable of chunks is taken at once
 * @returns the body to send in its place
 */
export const trackBody = (body: Dispatcher.DispatchOptions["body"]): TrackedBody => {
    if (!isChunks(body)) {
        return { body: body ?? undefined, isTaken: () => true };
    }
    let isTaken = false;
    const readChunks = async function*(): AsyncGenerator<Buffer> {
        yield* body;
        isTaken = true;
    };
    return { body: readChunks() as unknown as Body, isTaken: () => isTaken };
};
