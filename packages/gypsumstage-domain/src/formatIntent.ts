import type { Intent } from "./Intent.js";
import type { IntentSections } from "./IntentSections.js";

const yesNo = (value: boolean): string => value ? "yes" : "no";
const KILO = 1_000;

/**
 * Writes an intent in the form that `readIntent` reads.
 *
 * @param intent - the intent
 * @returns keys by section
 */
export const formatIntent = (intent: Intent): IntentSections => {
    const sections: Record<string, Readonly<Record<string, string>>> = {};
    Object.entries(intent.dataCentres).forEach(([name, region]) =>
        sections[`dataCentre ${name}`] = { region }
    );
    Object.entries(intent.places).forEach(([name, dataCentre]) => sections[`place ${name}`] = { dataCentre });
    intent.services.forEach(name => sections[`service ${name}`] = {});
    for (const each of intent.classes) {
        sections[`class ${each.name}`] = {
            service: each.service,
            method: each.method,
            path: each.path,
            latencyTarget: `${each.latencyTargetMs}ms`,
            deadline: `${each.deadlineMs}ms`,
            idempotent: yesNo(each.isIdempotent),
            length: each.length,
        };
    }
    Object.entries(intent.links).forEach(([name, cap]) =>
        sections[`link ${name}`] = { cap: `${cap / KILO}kB/s` }
    );
    Object.entries(intent.caps).forEach(([name, cap]) => sections[`cap ${name}`] = { inFlight: String(cap) });
    return sections;
};
