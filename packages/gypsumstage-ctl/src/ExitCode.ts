/** Exit codes of `gypsumctl`; documented in docs/OPERATORS.md. */
export const ExitCode = {
    done: 0,
    failed: 1,
    usage: 2,
    refused: 3,
    conflict: 4,
    notAccepted: 5,
    unknown: 6,
    notInForce: 7,
} as const;
