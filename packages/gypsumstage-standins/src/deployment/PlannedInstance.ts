/** An instance of a deployment with the addresses that its clients and peers use. */
export interface PlannedInstance {
    readonly name: string;
    readonly launch: string;
    readonly dataCentre: string;
    readonly region: string;
    readonly host: string;
    readonly entry: string;
    readonly peer: string;
    readonly metrics: string;
    readonly lookup: string;
    readonly steer: string;
}
