/** An item of the platform's list of members, which contains instances and upstream endpoints and may lag behind. */
export type Member = InstanceMember | UpstreamMember;

interface BaseMember {
    readonly name: string;
    /** Identifies one launch of the instance or endpoint; a replacement has a different value. */
    readonly launch: string;
    readonly dataCentre: string;
    readonly region: string;
    readonly state: "live" | "leaving" | "gone";
}

interface InstanceMember extends BaseMember {
    readonly kind: "instance";
    /** Addresses of the instance's roles, `IP:port`. */
    readonly entry: string;
    readonly peer: string;
    readonly lookup: string;
    readonly steer: string;
}

interface UpstreamMember extends BaseMember {
    readonly kind: "upstream";
    readonly service: string;
    readonly address: string;
    /** Number of requests that the endpoint runs concurrently. */
    readonly slots: number;
}
