import type { IncomingMessage, ServerResponse } from "node:http";

/** Handles one HTTP request; resolves when the response has ended. */
export type RequestHandler = (req: IncomingMessage, res: ServerResponse) => Promise<void>;
