/** How a chooser chooses an endpoint. */
export type ChoicePolicy = "random" | "least reported" | "two choices" | "present code" | "estimate";
