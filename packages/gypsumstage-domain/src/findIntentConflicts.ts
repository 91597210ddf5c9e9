import type { Intent } from "./Intent.js";
import type { IntentError } from "./IntentError.js";
import { MIN_LINK_FLOOR_BYTES } from "./MIN_LINK_FLOOR_BYTES.js";

type Problem = IntentError["problems"][number];

const countPlaces = (intent: Intent, region: string): number =>
    Object.values(intent.places).filter(dataCentre => intent.dataCentres[dataCentre] === region).length;

const checkClasses = (intent: Intent): readonly Problem[] => {
    const problems: Problem[] = [];
    const routes = new Map<string, string>();
    for (const each of intent.classes) {
        const section = `class ${each.name}`;
        if (!intent.services.includes(each.service)) {
            problems.push({
                section,
                key: "service",
                found: each.service,
                allowed: `one of ${intent.services.join(", ")}`,
            });
        }
        const route = `${each.method} ${each.path}`;
        const other = routes.get(route);
        if (other !== undefined) {
            problems.push({
                section,
                key: "path",
                found: route,
                allowed: `a route of its own; ${other} has this one`,
            });
        }
        routes.set(route, each.name);
        if (each.latencyTargetMs > each.deadlineMs) {
            problems.push({
                section,
                key: "latencyTarget",
                found: `${each.latencyTargetMs}ms`,
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
        const floors = countPlaces(intent, ends[0] ?? "") * MIN_LINK_FLOOR_BYTES;
        return cap >= floors ? [] : [{
            section: `link ${name}`,
            key: "cap",
            found: `${cap} B/s`,
            allowed: `at least the floors of its places, ${floors} B/s`,
        }];
    });
};

const checkCaps = (intent: Intent): readonly Problem[] => {
    const regions = new Set(Object.values(intent.dataCentres));
    return Object.entries(intent.caps).flatMap(([name, cap]) => {
        const [className = "", region = ""] = name.split("@");
        const section = `cap ${name}`;
        if (!intent.classes.some(each => each.name === className)) {
            return [{ section, key: "", found: className, allowed: "a declared class" }];
        }
        if (!regions.has(region)) {
            return [{ section, key: "", found: region, allowed: `one of ${[...regions].join(", ")}` }];
        }
        const floors = countPlaces(intent, region);
        return cap >= floors
            ? []
            : [{
                section,
                key: "inFlight",
                found: String(cap),
                allowed: `at least one for each place, ${floors}`,
            }];
    });
};

/**
 * Finds what makes an intent impossible: unknown names, routes that clash, caps under what the floors need.
 *
 * @param intent - the intent as read
 * @returns the problems; none when the intent can be met
 */
export const findIntentConflicts = (intent: Intent): readonly Problem[] => [
    ...checkClasses(intent),
    ...checkPlaces(intent),
    ...checkLinks(intent),
    ...checkCaps(intent),
];
