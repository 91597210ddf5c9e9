/** Objects for which endpoints were lately sent requests, so that these hold the objects' data. */
export interface WarmObjects {
    /** Records a request for an object at an endpoint. */
    readonly mark: (endpointId: string, objectKey: string) => void;
    /** Returns whether this instance recently sent the endpoint a request for the object. */
    readonly has: (endpointId: string, objectKey: string) => boolean;
    /** Forgets all objects of an endpoint. */
    readonly clear: (endpointId: string) => void;
}
