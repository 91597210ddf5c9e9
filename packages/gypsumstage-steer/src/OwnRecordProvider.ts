import type { InstanceRecord } from "@gypsumstage/domain/InstanceRecord";

/** Returns the record of this instance that is sent to its peers and to its other roles. */
export type OwnRecordProvider = () => InstanceRecord;
