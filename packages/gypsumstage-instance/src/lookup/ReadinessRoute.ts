/** Path at which the platform checks whether an instance is ready. */
export interface ReadinessRoute {
    readonly path: string;
}
