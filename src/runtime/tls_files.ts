/** Reads certificates and keys, and notices when they change. */
import {readFileSync, unwatchFile, watchFile} from 'node:fs';
import {createSecureContext} from 'node:tls';
import {buildConnector} from 'undici';
import type {TlsFiles} from './listener_types';

/** Certificate, key and CA in PEM. */
export interface TlsContext {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca: Buffer | undefined;
}

/** Time between two looks at the files. */
const WATCH_INTERVAL_MS = 5_000;

/** Reads the files. Throws when one cannot be read or the key does not fit the certificate. */
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

/** Calls `onChange` when a file changes and at SIGHUP; returns a function that stops it. */
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

/** Creates a connector for undici that shows the files' certificate and trusts their CA. They are read for each connection. */
export function createTlsConnector(files: TlsFiles): buildConnector.connector {
  return (options, callback) => {
    try {
      buildConnector(loadTlsContext(files))(options, callback);
    } catch (error) {
      callback(error as Error, null);
    }
  };
}
