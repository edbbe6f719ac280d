/** Loads certificates and keys and watches them for changes. */
import {readFileSync, unwatchFile, watchFile} from 'node:fs';
import {createSecureContext} from 'node:tls';
import {buildConnector} from 'undici';
import type {TlsFiles} from './listener_types';

/** Certificate chain, private key and CA, each in PEM. */
export interface TlsContext {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca: Buffer | undefined;
}

/** Polling interval of the file watch, in milliseconds. */
const WATCH_INTERVAL_MS = 5_000;

/** Reads the files. Throws when one cannot be read or the key does not match the certificate. */
export function loadTlsContext(files: TlsFiles): TlsContext {
  const {clientCaFile} = files;
  const context = {
    cert: readFileSync(files.certFile),
    key: readFileSync(files.keyFile),
    ca: clientCaFile === undefined ? undefined : readFileSync(clientCaFile),
  };
  createSecureContext(context);
  return context;
}

/** Calls `onChange` when a file changes and on SIGHUP; returns a function that stops the watch. */
export function watchTlsFiles(
  files: TlsFiles,
  onChange: () => void,
): () => void {
  const names = [files.certFile, files.keyFile];
  if (files.clientCaFile !== undefined) names.push(files.clientCaFile);
  const options = {persistent: false, interval: WATCH_INTERVAL_MS};
  for (const name of names) watchFile(name, options, onChange);
  process.on('SIGHUP', onChange);
  return () => {
    for (const name of names) unwatchFile(name, onChange);
    process.off('SIGHUP', onChange);
  };
}

/**
 * Creates a connector for undici that presents the certificate of the files and
 * trusts their CA. The files are read for each new connection, so that renewed
 * certificates are used without a restart.
 */
export function createTlsConnector(files: TlsFiles): buildConnector.connector {
  return (options, callback) => {
    try {
      buildConnector(loadTlsContext(files))(options, callback);
    } catch (error) {
      callback(error as Error, null);
    }
  };
}
