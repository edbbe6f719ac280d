/** Kinds of events that the time line explains. Other kinds are shown as they are. */
export const EventKind = {
  NodeStarted: 'node-started',
  NodeDraining: 'node-draining',
  RequestSent: 'request-sent',
  RequestWaits: 'request-waits',
  RequestRefused: 'request-refused',
  RequestFailed: 'request-failed',
  RequestAnswered: 'request-answered',
  RequestCancelled: 'request-cancelled',
  AttemptFailed: 'attempt-failed',
  /** Holds `shard`; the node that emits it is the holder. */
  LeaseGranted: 'lease-granted',
  LeaseReleased: 'lease-released',
  /** The holder let its own lease lapse. */
  LeaseLost: 'lease-lost',
  /** Holds `engine`; `cause` says what is gained and lost. */
  RoleTarget: 'role-target',
  RoleChangeDeclined: 'role-change-declined',
  RoleChanged: 'role-changed',
  TaskFailed: 'task-failed',
  TaskRestarted: 'task-restarted',
  UnhandledError: 'unhandled-error',
} as const;
export type EventKind = (typeof EventKind)[keyof typeof EventKind];
