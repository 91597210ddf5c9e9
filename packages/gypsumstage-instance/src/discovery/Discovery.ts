/** Handle on the search for the rest of the fleet by the discovery record. */
export interface Discovery {
    /**
     * Whether this instance has been the only one in the record for so long that any other one which reaches the store would have listed
     * itself.
     */
    readonly isConfirmedAlone: () => boolean;
    readonly stop: () => void;
}
