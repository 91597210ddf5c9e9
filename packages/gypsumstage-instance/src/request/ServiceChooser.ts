import type { Route } from "@gypsumstage/domain/traffic/Route";

/** Chooses the service for a request with the given object key; undefined when the route has no service. */
export type ServiceChooser = (route: Route, key: string) => string | undefined;
