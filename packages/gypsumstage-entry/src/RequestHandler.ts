import type { IncomingMessage, ServerResponse } from "node:http";

/** Handles one HTTP request to its end. */
export type RequestHandler = (req: IncomingMessage, res: ServerResponse) => Promise<void>;
