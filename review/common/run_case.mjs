/** Runs a case and exits with its result: 1 when the rule was broken, 0 when it held, 2 when the case could not run. */
const LIMIT_MS = 115_000;
const CANNOT_RUN = 2;

export function runCase(main) {
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
    process.once(signal, () => process.exit(CANNOT_RUN));
  }
  setTimeout(() => {
    console.error('the case took too long');
    process.exit(CANNOT_RUN);
  }, LIMIT_MS);
  main().then(
    code => process.exit(code),
    error => {
      console.error(error);
      process.exit(CANNOT_RUN);
    },
  );
}
