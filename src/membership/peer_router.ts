/** The procedures that a node offers to its peers. */
import {initTRPC} from '@trpc/server';
import {z} from 'zod';
import type {TimelineEvent} from '../diagnostics';
import type {AccountWindow} from '../planning/move';
import type {FoldSnapshot} from '../state';
import {
  type Exchange,
  exchangeSchema,
  type IndirectProbe,
  indirectProbeSchema,
} from './types';

/** Functions of the node that the procedures call. */
export interface PeerServices {
  handleExchange(exchange: Exchange): Exchange;
  handleIndirectProbe(probe: IndirectProbe): Promise<boolean>;
  /** Returns a snapshot of a stream's fold, or undefined unless this node is caught up with it. */
  tryExportSnapshot(stream: string): FoldSnapshot | undefined;
  /** Lists this node's events, oldest first. */
  listEvents(): readonly TimelineEvent[];
  /** Returns a client account's request counts on this node over the last `windowMs`. */
  getAccountWindow(clientAccount: string, windowMs: number): AccountWindow;
}

/** Maximum number of events in one answer; older ones are left out. */
const MAX_ANSWER_EVENTS = 4_096;

const eventFilterSchema = z.object({
  /** Selects the events of this request. */
  requestId: z.string().min(1).optional(),
  /** Selects the events after this wall time, in milliseconds since the Unix epoch. */
  afterMs: z.number().optional(),
});

const accountWindowSchema = z.object({
  clientAccount: z.string().min(1),
  windowMs: z.number().positive(),
});

/** Which events to list. */
export type EventFilter = z.infer<typeof eventFilterSchema>;

/** Creates the router. */
export function createPeerRouter(services: PeerServices) {
  const trpc = initTRPC.create();
  return trpc.router({
    exchange: trpc.procedure
      .input(exchangeSchema)
      .mutation(({input}) => services.handleExchange(input)),
    indirectProbe: trpc.procedure
      .input(indirectProbeSchema)
      .mutation(({input}) => services.handleIndirectProbe(input)),
    snapshot: trpc.procedure
      .input(z.object({stream: z.string().min(1)}))
      .query(({input}) => services.tryExportSnapshot(input.stream) ?? null),
    events: trpc.procedure
      .input(eventFilterSchema)
      .query(({input}) => selectEvents(services.listEvents(), input)),
    accountWindow: trpc.procedure
      .input(accountWindowSchema)
      .query(({input}) =>
        services.getAccountWindow(input.clientAccount, input.windowMs),
      ),
  });
}

/** The router's type, for clients. */
export type PeerRouter = ReturnType<typeof createPeerRouter>;

function selectEvents(
  events: readonly TimelineEvent[],
  filter: EventFilter,
): TimelineEvent[] {
  const {requestId, afterMs} = filter;
  return events
    .filter(event => requestId === undefined || event.requestId === requestId)
    .filter(event => afterMs === undefined || event.at.wallMs > afterMs)
    .slice(-MAX_ANSWER_EVENTS);
}
