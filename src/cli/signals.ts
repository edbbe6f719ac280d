/** Waits for the signals that end a process. */

/** Resolves at the first SIGTERM or SIGINT, with its name. */
export function waitForSignal(): Promise<NodeJS.Signals> {
  return new Promise(resolve => {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.once(signal, () => resolve(signal));
    }
  });
}
