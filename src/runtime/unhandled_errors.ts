/** Reports uncaught exceptions and unhandled rejections to a callback, in place of Node.js ending the process. */

/** Calls `onError` for each unhandled error of the process; returns a function that removes the handlers. */
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
