/** Runs a gateway with the platform's store and protocol until SIGTERM. */
import {write} from 'node:fs';
import {createLogger, type Logger} from './diagnostics/log';
import {createGateway} from './gateway';
import {
  createBackendProtocol,
  createFleetStore,
  createStoreClient,
  loadNodeSettings,
  SETTINGS_PATH_VARIABLE,
} from './platform';
import {createSystemClock} from './runtime/system_clock';
import {watchUnhandledErrors} from './runtime/unhandled_errors';

const EXIT_SUCCESS = 0;
const EXIT_FAILED = 1;
const EXIT_BAD_SETTINGS = 2;
/** Maximum number of queued log lines; further ones are dropped. Holds some seconds of lines under load. */
const MAX_QUEUED_LINES = 2_000;
const STDOUT_FD = 1;

/** Runs a gateway with a settings file, by default the one that the platform's environment variable names; returns the exit code. */
export async function runGatewayProcess(
  path: string | undefined = process.env[SETTINGS_PATH_VARIABLE],
): Promise<number> {
  if (path === undefined) {
    process.stderr.write(`${SETTINGS_PATH_VARIABLE} is not set\n`);
    return EXIT_BAD_SETTINGS;
  }
  const settings = loadNodeSettings(path);
  if (settings.err) {
    process.stderr.write(`${settings.val}\n`);
    return EXIT_BAD_SETTINGS;
  }
  const logger = createLogger({
    node: settings.val.nodeName,
    write: createLineWriter(),
  });
  watchReload(path, logger);
  watchUnhandledErrors(error => {
    logger.log('error', 'unhandled error', {
      error: error.stack ?? error.message,
    });
  });
  const client = createStoreClient(settings.val.store);
  const gateway = createGateway({
    settings: settings.val,
    store: createFleetStore(client),
    protocol: createBackendProtocol(),
    clock: createSystemClock(),
    logger,
  });
  try {
    await gateway.start();
  } catch (error) {
    // Written directly: the asynchronous log writer may not finish before the exit.
    process.stderr.write(`the gateway failed to start: ${String(error)}\n`);
    return EXIT_FAILED;
  }
  await new Promise(resolve => process.once('SIGTERM', resolve));
  await gateway.stop();
  client.close();
  return EXIT_SUCCESS;
}

/** Validates the settings file on SIGHUP and logs the result; a running process does not apply changed settings. */
function watchReload(path: string, logger: Logger): void {
  process.on('SIGHUP', () => {
    const settings = loadNodeSettings(path);
    logger.log(settings.ok ? 'info' : 'error', 'settings were read again', {
      ...(settings.err ? {reason: settings.val} : {}),
    });
  });
}

/** Creates a writer that does not block; lines beyond its queue's capacity are dropped and counted. */
function createLineWriter(): (line: string) => void {
  let queuedLines: string[] = [];
  let isWriting = false;
  let droppedCount = 0;
  return line => {
    if (queuedLines.length >= MAX_QUEUED_LINES) {
      droppedCount++;
      return;
    }
    queuedLines.push(line);
    if (!isWriting) writeQueued();
  };

  function writeQueued(): void {
    isWriting = true;
    if (droppedCount > 0) {
      queuedLines.push(
        JSON.stringify({message: 'log lines dropped', droppedCount}),
      );
      droppedCount = 0;
    }
    const text = queuedLines.map(line => `${line.trimEnd()}\n`).join('');
    queuedLines = [];
    write(STDOUT_FD, text, () => {
      isWriting = false;
      if (queuedLines.length > 0) writeQueued();
    });
  }
}
