/** Turns errors that no task has handled into a call, in place of a silent death. */

/** Calls `onError` for each unhandled error of the process; returns a function that stops it. */
export function watchUnhandledErrors(
  onError: (error: Error) => void,
): () => void {
  const handle = (reason: unknown) => {
    onError(reason instanceof Error ? reason : new Error(String(reason)));
  };
  process.on('uncaughtException', handle);
  process.on('unhandledRejection', handle);
  return () => {
    process.off('uncaughtException', handle);
    process.off('unhandledRejection', handle);
  };
}
