/** JSON-RPC method of summaries of data centres. */
export const SUMMARIES_METHOD = "peer.summaries";
