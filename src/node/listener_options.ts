/** Turns settings into the options of a listener. */
import {
  createMessage,
  formatMessage,
  type Logger,
  messages,
} from '../diagnostics';
import type {ListenerOptions} from '../runtime';
import type {Settings} from '../settings';

/** Name of one of a node's listeners. */
export type ListenerName = keyof Settings['listen'];

const MS_PER_S = 1_000;

/**
 * Returns address, TLS files and limits of a listener. The callers' listener has no body limit: its
 * application checks the length itself.
 */
export function getListenerOptions(
  settings: Settings,
  name: ListenerName,
  logger: Logger,
): Omit<ListenerOptions, 'app'> {
  const address = settings.listen[name];
  const colonIndex = address.lastIndexOf(':');
  const {limits} = settings;
  const tls = settings.tls[name];
  return {
    host: address.slice(0, colonIndex).replace(/^\[(.*)\]$/, '$1'),
    port: Number(address.slice(colonIndex + 1)),
    tls:
      tls === undefined
        ? undefined
        : {
            certFile: tls.cert_file,
            keyFile: tls.key_file,
            clientCaFile: tls.client_ca_file,
          },
    onReloadError: error => {
      const message = createMessage(messages.CertificateReloadFailed, [
        name,
        error.message,
      ]);
      logger.log('error', formatMessage(message));
    },
    limits: {
      maxHeaderBytes: limits.max_header_bytes,
      maxBodyBytes: name === 'callers' ? undefined : limits.max_body_bytes,
      headerTimeoutMs: limits.header_timeout_s * MS_PER_S,
      uploadTimeoutMs: limits.upload_timeout_s * MS_PER_S,
      idleTimeoutMs: limits.idle_timeout_s * MS_PER_S,
      maxConnections: limits.max_connections,
    },
  };
}
