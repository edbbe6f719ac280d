/** Exit codes of every command. */
export const ExitCode = {
  Done: 0,
  /** The operation was refused or failed. */
  Failed: 1,
  /** Invalid arguments, settings or input file. */
  Usage: 2,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];
