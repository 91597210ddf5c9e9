import type { TrafficPolicy } from "@gypsumstage/domain/traffic/TrafficPolicy";
import type { AdmissionRule } from "@gypsumstage/steering/traffic/AdmissionRule";
import { findAdmissionRules } from "@gypsumstage/steering/traffic/findAdmissionRules";

const rulesByPolicy = new WeakMap<TrafficPolicy, ReadonlyMap<string, AdmissionRule>>();

/**
 * Finds the services with admission; computed once for each configuration.
 *
 * @param policy - the configuration in force
 * @returns the rule of each service with admission
 */
export const findCachedAdmissionRules = (policy: TrafficPolicy): ReadonlyMap<string, AdmissionRule> => {
    const rules = rulesByPolicy.get(policy) ?? findAdmissionRules(policy);
    rulesByPolicy.set(policy, rules);
    return rules;
};
