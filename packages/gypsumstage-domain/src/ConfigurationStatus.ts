/** Whether a configuration is in force. Missing information yields `unknown`, never `in-force`. */
export type ConfigurationStatus = "in-force" | "behind" | "unknown";
