/** Kinds of events that the time line interprets. Events of other kinds are shown unchanged. */
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
  /** Carries `shard`; the emitting node is the new lease holder. */
  LeaseGranted: 'lease-granted',
  LeaseReleased: 'lease-released',
  /** The emitting node no longer holds its lease. */
  LeaseLost: 'lease-lost',
  /** The planner set a new target role. Carries `engine`; `cause` gives the expected gain and cost. */
  RoleTarget: 'role-target',
  RoleChangeDeclined: 'role-change-declined',
  RoleChanged: 'role-changed',
  TaskFailed: 'task-failed',
  TaskRestarted: 'task-restarted',
  UnhandledError: 'unhandled-error',
} as const;
export type EventKind = (typeof EventKind)[keyof typeof EventKind];
