/** Exit codes of every command. */
export const ExitCode = {
  Done: 0,
  /** Refused or failed. */
  Failed: 1,
  /** Usage or bad settings. */
  Usage: 2,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
