import type { IncomingMessage, ServerResponse } from "node:http";

/** Handles one request and writes its reply; the promise never rejects. */
export type RequestHandler = (req: IncomingMessage, res: ServerResponse) => Promise<void>;
