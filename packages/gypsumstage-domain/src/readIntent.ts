import { failure } from "@gypsumstage/shared/failure";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import { findIntentConflicts } from "./findIntentConflicts.js";
import type { Intent } from "./Intent.js";
import type { IntentError } from "./IntentError.js";
import type { IntentSections } from "./IntentSections.js";
import { parseDuration } from "./parseDuration.js";
import { parseRate } from "./parseRate.js";
import type { RequestClass } from "./RequestClass.js";

type Problem = IntentError["problems"][number];
type Section = Readonly<Record<string, string>>;
type Reader<Value extends string | number | boolean> = (text: string) => Value | undefined;

interface SectionReader {
    readonly read: <Value extends string | number | boolean>(
        key: string,
        reader: Reader<Value>,
        allowed: string,
    ) => Value | undefined;
    readonly finish: () => void;
}

const REFUSED_KEYS: Readonly<Record<string, string>> = {
    weight: "no weights: declare targets and caps, the system chooses",
    address: "no addresses: the platform's list names instances and upstreams",
};

const readWord: Reader<string> = text => /^[\w./*-]+$/.test(text) ? text : undefined;
const readMethod: Reader<string> = text => /^(GET|HEAD|POST|PUT|PATCH|DELETE)$/.test(text) ? text : undefined;
const readYesNo: Reader<boolean> = text =>
    text === "yes" || text === "true" ? true : text === "no" || text === "false" ? false : undefined;
const readLength: Reader<"short" | "long"> = text => text === "short" || text === "long" ? text : undefined;
const readCount: Reader<number> = text => /^\d+$/.test(text) && Number(text) > 0 ? Number(text) : undefined;

const createSectionReader = (name: string, section: Section, problems: Problem[]): SectionReader => {
    const known = new Set<string>();
    return {
        read: (key, reader, allowed) => {
            known.add(key);
            const text = section[key];
            const value = text === undefined ? undefined : reader(text);
            if (value === undefined) {
                problems.push({ section: name, key, found: text ?? "nothing", allowed });
            }
            return value;
        },
        finish: () => {
            for (const key of Object.keys(section).filter(each => !known.has(each))) {
                const allowed = REFUSED_KEYS[key] ?? `only ${[...known].join(", ")}`;
                problems.push({ section: name, key, found: section[key] ?? "", allowed });
            }
        },
    };
};

const readClass = (name: string, reader: SectionReader): RequestClass | undefined => {
    const service = reader.read("service", readWord, "a declared service");
    const method = reader.read("method", readMethod, "GET, HEAD, POST, PUT, PATCH or DELETE");
    const path = reader.read("path", readWord, "a path, or a prefix ending in *");
    const latencyTargetMs = reader.read("latencyTarget", parseDuration, "a duration such as 150ms");
    const deadlineMs = reader.read("deadline", parseDuration, "a duration such as 2s");
    const isIdempotent = reader.read("idempotent", readYesNo, "yes or no");
    const length = reader.read("length", readLength, "short or long");
    if (
        service === undefined || method === undefined || path === undefined || latencyTargetMs === undefined
        || deadlineMs === undefined || isIdempotent === undefined || length === undefined
    ) {
        return undefined;
    }
    return { name, service, method, path, latencyTargetMs, deadlineMs, isIdempotent, length };
};

/**
 * Reads an intent from the sections of its INI form and checks it whole, also whether it can be met at all.
 *
 * @param sections - `[service N]`, `[class N]`, `[dataCentre N]`, `[place N]`, `[link A>B]` and `[cap CLASS@REGION]`
 * @returns the intent, or every problem found
 */
export const readIntent = (sections: IntentSections): Result<Intent, IntentError> => {
    const problems: Problem[] = [];
    const services: string[] = [];
    const classes: RequestClass[] = [];
    const dataCentres: Record<string, string> = {};
    const places: Record<string, string> = {};
    const links: Record<string, number> = {};
    const caps: Record<string, number> = {};
    const put = <Value>(record: Record<string, Value>, name: string, value: Value | undefined): void => {
        if (value !== undefined) {
            record[name] = value;
        }
    };
    for (const [title, section] of Object.entries(sections)) {
        const [kind, name = ""] = title.split(/\s+/);
        const reader = createSectionReader(title, section, problems);
        if (kind === "service") {
            services.push(name);
        }
        else if (kind === "class") {
            const read = readClass(name, reader);
            classes.push(...(read === undefined ? [] : [read]));
        }
        else if (kind === "dataCentre") {
            put(dataCentres, name, reader.read("region", readWord, "a region"));
        }
        else if (kind === "place") {
            put(places, name, reader.read("dataCentre", readWord, "a declared data centre"));
        }
        else if (kind === "link") {
            put(links, name, reader.read("cap", parseRate, "a rate such as 280Mbit/s"));
        }
        else if (kind === "cap") {
            put(caps, name, reader.read("inFlight", readCount, "a whole number above 0"));
        }
        else {
            problems.push({
                section: title,
                key: "",
                found: title,
                allowed: "service, class, dataCentre, place, link or cap",
            });
        }
        reader.finish();
    }
    const intent: Intent = { services, classes, dataCentres, places, links, caps };
    const all = [...problems, ...findIntentConflicts(intent)];
    return all.length === 0 ? success(intent) : failure({ kind: "intent-invalid", problems: all });
};
