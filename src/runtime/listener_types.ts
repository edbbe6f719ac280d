/** Types of HTTP listeners. */
import type {H3} from 'h3';

/** TLS files of a listener, reloaded when they change and on SIGHUP. */
export interface TlsFiles {
  /** Certificate chain in PEM. */
  readonly certFile: string;
  /** Private key in PEM. */
  readonly keyFile: string;
  /** CA that must have signed the client certificates; no client certificate is requested when omitted. */
  readonly clientCaFile?: string;
}

/** Limits of a listener. */
export interface ListenerLimits {
  readonly maxHeaderBytes: number;
  /**
   * Largest accepted Content-Length, in bytes. When set, bodies without a
   * Content-Length are rejected; unlimited when omitted.
   */
  readonly maxBodyBytes?: number;
  /** How long the headers of a request may take to arrive, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** How long a whole request may take to arrive, in milliseconds. */
  readonly uploadTimeoutMs: number;
  /** How long an idle keep-alive connection stays open, in milliseconds. */
  readonly idleTimeoutMs: number;
  readonly maxConnections: number;
}

/** Options of a listener. */
export interface ListenerOptions {
  readonly app: H3;
  readonly host?: string;
  /** 0 picks a free port. */
  readonly port?: number;
  readonly tls?: TlsFiles;
  readonly limits?: Partial<ListenerLimits>;
  /** Called when changed certificates cannot be loaded; the previous ones stay in use. */
  readonly onReloadError?: (error: Error) => void;
}

/** Bytes of all connections of a listener since it opened, including TLS overhead. */
export interface ListenerBytes {
  readonly received: number;
  readonly sent: number;
}

/** An open listener. */
export interface Listener {
  /** Base address, such as `http://127.0.0.1:8101`. */
  readonly address: string;
  getBytes(): ListenerBytes;
  /** Reloads the certificates; returns false when they cannot be loaded. */
  updateCertificates(): boolean;
  /** Stops accepting connections and closes idle ones; resolves when the open requests have finished. */
  close(): Promise<void>;
  /** Closes the listener and every connection at once. */
  destroy(): Promise<void>;
}
