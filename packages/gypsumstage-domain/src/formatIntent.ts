import type { Intent } from "./Intent.js";
import type { IntentSections } from "./IntentSections.js";

const formatBoolean = (value: boolean): string => value ? "yes" : "no";
const BYTES_PER_KB = 1_000;

/**
 * Formats an intent as the sections that `parseIntent` accepts.
 *
 * @param intent - a valid intent
 * @returns values by section and key
 */
export const formatIntent = (intent: Intent): IntentSections => {
    const sections: Record<string, Readonly<Record<string, string>>> = {};
    Object.entries(intent.dataCentres).forEach(([name, region]) =>
        sections[`dataCentre ${name}`] = { region }
    );
    Object.entries(intent.places).forEach(([name, dataCentre]) => sections[`place ${name}`] = { dataCentre });
    intent.services.forEach(name => sections[`service ${name}`] = {});
    for (const cls of intent.classes) {
        sections[`class ${cls.name}`] = {
            service: cls.service,
            method: cls.method,
            path: cls.path,
            latencyTarget: `${cls.latencyTargetMs}ms`,
            deadline: `${cls.deadlineMs}ms`,
            idempotent: formatBoolean(cls.isIdempotent),
            length: cls.length,
        };
    }
    Object.entries(intent.links).forEach(([name, cap]) =>
        sections[`link ${name}`] = { cap: `${cap / BYTES_PER_KB}kB/s` }
    );
    Object.entries(intent.caps).forEach(([name, cap]) => sections[`cap ${name}`] = { inFlight: String(cap) });
    return sections;
};
