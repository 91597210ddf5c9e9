import type { Intent } from "@gypsumstage/domain/Intent";
import type { RequestClass } from "@gypsumstage/domain/RequestClass";

const matches = (pattern: string, path: string): boolean =>
    pattern.endsWith("*") ? path.startsWith(pattern.slice(0, -1)) : path === pattern;

/**
 * Finds the class of work of a request: the longest matching path wins.
 *
 * @param intent - the declared classes
 * @param method - the HTTP method
 * @param path - the path without query
 * @returns the class, or undefined when no class is declared for the route
 */
export const classify = (intent: Intent, method: string, path: string): RequestClass | undefined => {
    let best: RequestClass | undefined;
    for (const each of intent.classes) {
        const isMatch = each.method === method && matches(each.path, path);
        if (isMatch && (best === undefined || each.path.length > best.path.length)) {
            best = each;
        }
    }
    return best;
};
