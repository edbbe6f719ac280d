/** Types of listening sockets. */
import type {H3} from 'h3';

/** Files of a listener's TLS; they are read again when they change and at SIGHUP. */
export interface TlsFiles {
  /** Certificate chain in PEM. */
  readonly certFile: string;
  /** Private key in PEM. */
  readonly keyFile: string;
  /** CA that clients must have a certificate of; none is asked for when omitted. */
  readonly clientCaFile?: string;
}

/** Limits of a listener. */
export interface ListenerLimits {
  readonly maxHeaderBytes: number;
  /** Longest body by its Content-Length, and none without; unlimited when omitted. */
  readonly maxBodyBytes?: number;
  /** How long the headers of a request may take, in milliseconds. */
  readonly headerTimeoutMs: number;
  /** How long a whole request may take to arrive, in milliseconds. */
  readonly uploadTimeoutMs: number;
  /** How long an idle connection is kept, in milliseconds. */
  readonly idleTimeoutMs: number;
  readonly maxConnections: number;
}

/** Options of a listener. */
export interface ListenerOptions {
  readonly app: H3;
  readonly host?: string;
  /** 0 takes a free port. */
  readonly port?: number;
  readonly tls?: TlsFiles;
  readonly limits?: Partial<ListenerLimits>;
  /** Called when changed certificates cannot be used; those in use stay. */
  readonly onReloadError?: (error: Error) => void;
}

/** Bytes of all connections of a listener so far, TLS included. */
export interface ListenerBytes {
  readonly received: number;
  readonly sent: number;
}

/** A listening socket. */
export interface Listener {
  /** Base address, such as `http://127.0.0.1:8101`. */
  readonly address: string;
  getBytes(): ListenerBytes;
  /** Reads the certificates again; returns false when they cannot be used. */
  updateCertificates(): boolean;
  /** Takes no new connections; resolves when those open have ended. Idle ones end at once. */
  close(): Promise<void>;
  /** Ends every connection at once. */
  destroy(): Promise<void>;
}
