import type { buildConnector } from "undici";

/** Opens connections to endpoints and to other instances; fails after a timeout of its own. */
export type UpstreamConnector = buildConnector.connector;
