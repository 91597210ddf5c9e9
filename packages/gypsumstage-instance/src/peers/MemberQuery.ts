/** Parameters of the RPC method `members.read`. */
export interface MemberQuery {
    readonly dataCentre: string;
}
