/** How requests of one service are admitted when its slots do not suffice. */
export interface AdmissionRule {
    /** The most urgent priority that a request of the service can have. */
    readonly mostUrgent: number;
}
