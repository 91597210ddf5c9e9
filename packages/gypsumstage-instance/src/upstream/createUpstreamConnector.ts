import { buildConnector } from "undici";
import type { UpstreamConnector } from "./UpstreamConnector.js";

const CONNECT_TIMEOUT_MS = 1_000;

/**
 * Creates the connector that opens TCP connections.
 *
 * @returns the connector
 */
export const createUpstreamConnector = (): UpstreamConnector =>
    buildConnector({ timeout: CONNECT_TIMEOUT_MS });
