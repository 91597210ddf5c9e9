import type { InstanceRecord } from "@gypsumstage/domain/InstanceRecord";

/** Makes the record that this instance tells the others. */
export type OwnRecordProvider = () => InstanceRecord;
