import type { PeerReport } from "@gypsumstage/steering/traffic/PeerReport";

/** Another instance, as the usage caps see it. */
export type QuotaInstance = Pick<PeerReport, "name" | "dataCentre" | "internalAddress" | "isReady">;
