import type { Intent } from "@gypsumstage/domain/Intent";
import type { RequestClass } from "@gypsumstage/domain/RequestClass";

const matches = (pattern: string, path: string): boolean =>
    pattern.endsWith("*") ? path.startsWith(pattern.slice(0, -1)) : path === pattern;

/**
 * Finds the class of a request: of the classes that match method and path, the one with the longest path pattern.
 *
 * @param intent - the intent that declares the classes
 * @param method - the HTTP method, compared as written
 * @param path - the path without query
 * @returns the class, or undefined when no declared class matches
 */
export const classifyRequest = (intent: Intent, method: string, path: string): RequestClass | undefined => {
    let best: RequestClass | undefined;
    for (const each of intent.classes) {
        const isMatch = each.method === method && matches(each.path, path);
        if (isMatch && (best === undefined || each.path.length > best.path.length)) {
            best = each;
        }
    }
    return best;
};
