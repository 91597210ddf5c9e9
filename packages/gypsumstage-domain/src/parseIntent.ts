import { failure } from "@gypsumstage/shared/failure";
import type { Result } from "@gypsumstage/shared/Result";
import { success } from "@gypsumstage/shared/success";
import { findIntentProblems } from "./findIntentProblems.js";
import type { Intent } from "./Intent.js";
import type { IntentError } from "./IntentError.js";
import type { IntentSections } from "./IntentSections.js";
import { parseDuration } from "./parseDuration.js";
import { parseRate } from "./parseRate.js";
import type { RequestClass } from "./RequestClass.js";

type Problem = IntentError["problems"][number];
type Section = Readonly<Record<string, string>>;
type ValueParser<Value extends string | number | boolean> = (text: string) => Value | undefined;

interface SectionReader {
    readonly read: <Value extends string | number | boolean>(
        key: string,
        parse: ValueParser<Value>,
        allowed: string,
    ) => Value | undefined;
    readonly reportUnknownKeys: () => void;
}

/** Keys that an intent must not contain, with the reason that is reported to operators. */
const REASON_BY_FORBIDDEN_KEY: Readonly<Record<string, string>> = {
    weight: "no weights: declare targets and caps, the system chooses",
    address: "no addresses: the platform's list names instances and upstreams",
};

const parseWord: ValueParser<string> = text => /^[\w./*-]+$/.test(text) ? text : undefined;
const parseMethod: ValueParser<string> = text =>
    /^(GET|HEAD|POST|PUT|PATCH|DELETE)$/.test(text) ? text : undefined;
const parseBoolean: ValueParser<boolean> = text =>
    text === "yes" || text === "true" ? true : text === "no" || text === "false" ? false : undefined;
const parseLength: ValueParser<"short" | "long"> = text =>
    text === "short" || text === "long" ? text : undefined;
const parseCount: ValueParser<number> = text =>
    /^\d+$/.test(text) && Number(text) > 0 ? Number(text) : undefined;

const createSectionReader = (name: string, section: Section, problems: Problem[]): SectionReader => {
    const knownKeys = new Set<string>();
    return {
        read: (key, parse, allowed) => {
            knownKeys.add(key);
            const text = section[key];
            const value = text === undefined ? undefined : parse(text);
            if (value === undefined) {
                problems.push({ section: name, key, found: text ?? "nothing", allowed });
            }
            return value;
        },
        reportUnknownKeys: () => {
            for (const key of Object.keys(section).filter(each => !knownKeys.has(each))) {
                const allowed = REASON_BY_FORBIDDEN_KEY[key] ?? `only ${[...knownKeys].join(", ")}`;
                problems.push({ section: name, key, found: section[key] ?? "", allowed });
            }
        },
    };
};

const parseClass = (name: string, reader: SectionReader): RequestClass | undefined => {
    const service = reader.read("service", parseWord, "a declared service");
    const method = reader.read("method", parseMethod, "GET, HEAD, POST, PUT, PATCH or DELETE");
    const path = reader.read("path", parseWord, "a path, or a prefix ending in *");
    const latencyTargetMs = reader.read("latencyTarget", parseDuration, "a duration such as 150ms");
    const deadlineMs = reader.read("deadline", parseDuration, "a duration such as 2s");
    const isIdempotent = reader.read("idempotent", parseBoolean, "yes or no");
    const length = reader.read("length", parseLength, "short or long");
    if (
        service === undefined || method === undefined || path === undefined || latencyTargetMs === undefined
        || deadlineMs === undefined || isIdempotent === undefined || length === undefined
    ) {
        return undefined;
    }
    return { name, service, method, path, latencyTargetMs, deadlineMs, isIdempotent, length };
};

/**
 * Parses an intent from the sections of its INI form and checks that its values are valid and that it can be met.
 *
 * @param sections - `[service N]`, `[class N]`, `[dataCentre N]`, `[place N]`, `[link A>B]` and
 * `[cap CLASS@REGION]`
 * @returns the intent, or all problems found
 */
export const parseIntent = (sections: IntentSections): Result<Intent, IntentError> => {
    const problems: Problem[] = [];
    const services: string[] = [];
    const classes: RequestClass[] = [];
    const dataCentres: Record<string, string> = {};
    const places: Record<string, string> = {};
    const links: Record<string, number> = {};
    const caps: Record<string, number> = {};
    const setIfDefined = <Value>(
        record: Record<string, Value>,
        name: string,
        value: Value | undefined,
    ): void => {
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
            const cls = parseClass(name, reader);
            classes.push(...(cls === undefined ? [] : [cls]));
        }
        else if (kind === "dataCentre") {
            setIfDefined(dataCentres, name, reader.read("region", parseWord, "a region"));
        }
        else if (kind === "place") {
            setIfDefined(places, name, reader.read("dataCentre", parseWord, "a declared data centre"));
        }
        else if (kind === "link") {
            setIfDefined(links, name, reader.read("cap", parseRate, "a rate such as 280Mbit/s"));
        }
        else if (kind === "cap") {
            setIfDefined(caps, name, reader.read("inFlight", parseCount, "a whole number above 0"));
        }
        else {
            problems.push({
                section: title,
                key: "",
                found: title,
                allowed: "service, class, dataCentre, place, link or cap",
            });
        }
        reader.reportUnknownKeys();
    }
    const intent: Intent = { services, classes, dataCentres, places, links, caps };
    const allProblems = [...problems, ...findIntentProblems(intent)];
    return allProblems.length === 0
        ? success(intent)
        : failure({ kind: "intent-invalid", problems: allProblems });
};
