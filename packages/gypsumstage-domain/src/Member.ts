/** One line of the platform's lagging list of instances and upstreams. */
export type Member = InstanceMember | UpstreamMember;

interface CommonMember {
    readonly name: string;
    /** Identifies one launch of the machine; a replacement has another. */
    readonly launch: string;
    readonly dataCentre: string;
    readonly region: string;
    readonly state: "live" | "leaving" | "gone";
}

interface InstanceMember extends CommonMember {
    readonly kind: "instance";
    /** Addresses of its roles, `IP:port`. */
    readonly entry: string;
    readonly peer: string;
    readonly lookup: string;
    readonly steer: string;
}

interface UpstreamMember extends CommonMember {
    readonly kind: "upstream";
    readonly service: string;
    readonly address: string;
    /** Requests that it runs at the same time. */
    readonly slots: number;
}
