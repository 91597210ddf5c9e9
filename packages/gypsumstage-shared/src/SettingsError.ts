/** Why a settings file was rejected. */
export type SettingsError =
    | { readonly kind: "file-unreadable"; readonly file: string; readonly reason: string; }
    | { readonly kind: "settings-invalid"; readonly file: string; readonly problems: readonly string[]; };
