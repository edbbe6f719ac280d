/** Waits for a termination signal. */

/** Resolves with the name of the first SIGTERM or SIGINT received. */
export function waitForSignal(): Promise<NodeJS.Signals> {
  return new Promise(resolve => {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.once(signal, () => resolve(signal));
    }
  });
}
