/** Runs a gateway with the platform's store and protocol until SIGTERM. */
import {createLogger, type Logger} from './diagnostics/log';
import {createGateway} from './gateway';
import {
  createBackendProtocol,
  createDutyClient,
  createFleetStore,
  createStoreClient,
  createUsageStore,
  loadNodeSettings,
  SETTINGS_PATH_VARIABLE,
} from './platform';
import {createDescriptorWrite, createLineWriter} from './runtime/line_writer';
import {setYoungHeapSmall} from './runtime/small_heap';
import {createSystemClock} from './runtime/system_clock';
import {watchUnhandledErrors} from './runtime/unhandled_errors';

const EXIT_SUCCESS = 0;
const EXIT_FAILED = 1;
const EXIT_BAD_SETTINGS = 2;
const STDOUT_FD = 1;
/** Environment variable that is `off` when all servers of a service are to be treated as equally fast. */
const SERVER_SPEEDS_VARIABLE = 'ANVILSTACK_SERVER_SPEEDS';
/** Time to write the last log lines, in milliseconds; it ends before the platform kills the process. */
const LOG_DRAIN_MS = 400;

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
  if (settings.val.memoryMb !== undefined) setYoungHeapSmall();
  const lines = createLineWriter({write: createDescriptorWrite(STDOUT_FD)});
  const logger = createLogger({
    node: settings.val.nodeName,
    write: lines.write,
  });
  watchReload(path, logger);
  watchUnhandledErrors(error => {
    logger.log('error', 'unhandled error', {
      error: error.stack ?? error.message,
    });
  });
  const client = createStoreClient({
    ...settings.val.store,
    onEraAnomaly: (anomaly, knownEra) =>
      logger.log('warn', 'store states an odd era', {anomaly, knownEra}),
  });
  const dutyClient =
    settings.val.duties === undefined
      ? undefined
      : createDutyClient(settings.val.duties.address);
  const gateway = createGateway({
    settings: settings.val,
    store: createFleetStore(client),
    protocol: createBackendProtocol(),
    clock: createSystemClock(),
    logger,
    ...(dutyClient === undefined
      ? {}
      : {duties: {client: dutyClient, usageStore: createUsageStore(client)}}),
    learnsServerSpeeds: process.env[SERVER_SPEEDS_VARIABLE] !== 'off',
  });
  // The handler stays: a repeated signal must not end a process that is being stopped.
  const isTerminated = new Promise(resolve => process.on('SIGTERM', resolve));
  try {
    await gateway.start();
  } catch (error) {
    // Written directly: the asynchronous log writer may not finish before the exit.
    process.stderr.write(`the gateway failed to start: ${String(error)}\n`);
    return EXIT_FAILED;
  }
  await isTerminated;
  await gateway.stop();
  client.close();
  dutyClient?.close();
  await lines.drain(LOG_DRAIN_MS);
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
