/** How requests are sent: to the least loaded candidate; as without admission; or with it. */
export type OverloadPolicy = "first-come" | "present" | "admission";
