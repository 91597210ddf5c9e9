/** Why a datagram could not be read as a peer report. */
export interface ReportError {
    readonly kind: "report-malformed";
    readonly reason: string;
}
