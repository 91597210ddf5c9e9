/** JSON-RPC method of notices. */
export const NOTICES_METHOD = "peer.notices";
