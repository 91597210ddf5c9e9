import type { Intent } from "./Intent.js";
import type { IntentError } from "./IntentError.js";
import { MIN_LINK_FLOOR_BYTES_PER_SECOND } from "./MIN_LINK_FLOOR_BYTES_PER_SECOND.js";

type Problem = IntentError["problems"][number];

const countPlaces = (intent: Intent, region: string): number =>
    Object.values(intent.places).filter(dataCentre => intent.dataCentres[dataCentre] === region).length;

const checkClasses = (intent: Intent): readonly Problem[] => {
    const problems: Problem[] = [];
    const routes = new Map<string, string>();
    for (const cls of intent.classes) {
        const section = `class ${cls.name}`;
        if (!intent.services.includes(cls.service)) {
            problems.push({
                section,
                key: "service",
                found: cls.service,
                allowed: `one of ${intent.services.join(", ")}`,
            });
        }
        const route = `${cls.method} ${cls.path}`;
        const other = routes.get(route);
        if (other !== undefined) {
            problems.push({
                section,
                key: "path",
                found: route,
                allowed: `a route of its own; ${other} has this one`,
            });
        }
        routes.set(route, cls.name);
        if (cls.latencyTargetMs > cls.deadlineMs) {
            problems.push({
                section,
                key: "latencyTarget",
                found: `${cls.latencyTargetMs}ms`,
                allowed: "at most the deadline",
            });
        }
    }
    return problems;
};

const checkPlaces = (intent: Intent): readonly Problem[] =>
    Object.entries(intent.places)
        .filter(([, dataCentre]) => intent.dataCentres[dataCentre] === undefined)
        .map(([name, found]) => ({
            section: `place ${name}`,
            key: "dataCentre",
            found,
            allowed: "a declared data centre",
        }));

const checkLinks = (intent: Intent): readonly Problem[] => {
    const regions = new Set(Object.values(intent.dataCentres));
    return Object.entries(intent.links).flatMap(([name, cap]) => {
        const ends = name.split(">");
        const unknown = ends.find(end => !regions.has(end));
        if (ends.length !== 2 || unknown !== undefined) {
            return [{
                section: `link ${name}`,
                key: "",
                found: unknown ?? name,
                allowed: `a link between ${[...regions].join(", ")}`,
            }];
        }
        const totalFloor = countPlaces(intent, ends[0] ?? "") * MIN_LINK_FLOOR_BYTES_PER_SECOND;
        return cap >= totalFloor ? [] : [{
            section: `link ${name}`,
            key: "cap",
            found: `${cap} B/s`,
            allowed: `at least the floors of its places, ${totalFloor} B/s`,
        }];
    });
};

const checkCaps = (intent: Intent): readonly Problem[] => {
    const regions = new Set(Object.values(intent.dataCentres));
    return Object.entries(intent.caps).flatMap(([name, cap]) => {
        const [className = "", region = ""] = name.split("@");
        const section = `cap ${name}`;
        if (!intent.classes.some(cls => cls.name === className)) {
            return [{ section, key: "", found: className, allowed: "a declared class" }];
        }
        if (!regions.has(region)) {
            return [{ section, key: "", found: region, allowed: `one of ${[...regions].join(", ")}` }];
        }
        const totalFloor = countPlaces(intent, region);
        return cap >= totalFloor
            ? []
            : [{
                section,
                key: "inFlight",
                found: String(cap),
                allowed: `at least one for each place, ${totalFloor}`,
            }];
    });
};

/**
 * Returns the problems of an intent that is inconsistent or cannot be met: unknown names, duplicate routes,
 * latency targets above the deadline, and caps below the sum of the floors.
 *
 * @param intent - an intent whose values have been parsed
 * @returns all problems; empty if the intent can be met
 */
export const findIntentProblems = (intent: Intent): readonly Problem[] => [
    ...checkClasses(intent),
    ...checkPlaces(intent),
    ...checkLinks(intent),
    ...checkCaps(intent),
];
