/** Reserves a decode engine before a prompt is prefilled, because a prefill is wasted when the limits of the decode engines then leave no room. */
import type {ServerLimits} from './server_limits';
import type {BackendEntry} from './types';

/** The reservation of one model request. */
export interface DecodeReservation {
  /** Reserves an engine if all decode engines limit their requests; false when none of them has room. */
  tryReserve(sourceDomain: string): boolean;
  /** Takes the reserved engine, or returns undefined when there is none or it can no longer be used. */
  tryTake(): BackendEntry | undefined;
  /** Gives the reserved place back. */
  cancel(): void;
}

/** Options of a reservation. */
export interface DecodeReservationOptions {
  readonly limits: Pick<ServerLimits, 'isLimited' | 'claim' | 'count'>;
  /** Lists the decode engines that can be used apart from their limits. */
  readonly listDecodeEngines: () => readonly BackendEntry[];
  /** Chooses a decode engine with room for a request. */
  readonly tryChooseDecode: (sourceDomain: string) => BackendEntry | undefined;
}

/** True when all decode engines limit their requests. */
export function isReservationNeeded({
  limits,
  listDecodeEngines,
}: Pick<DecodeReservationOptions, 'listDecodeEngines'> & {
  readonly limits: Pick<ServerLimits, 'isLimited' | 'count'>;
}): boolean {
  if (limits.count() === 0) return false;
  const engines = listDecodeEngines();
  return engines.length > 0 && engines.every(limits.isLimited);
}

/** Creates a reservation that has not reserved anything yet. */
export function createDecodeReservation(
  options: DecodeReservationOptions,
): DecodeReservation {
  const {limits, listDecodeEngines} = options;
  let reserved: {serverId: string; release: () => void} | undefined;
  return {tryReserve, tryTake, cancel};

  function tryReserve(sourceDomain: string): boolean {
    cancel();
    if (!isReservationNeeded(options)) return true;
    const server = options.tryChooseDecode(sourceDomain);
    if (server === undefined) return false;
    reserved = {serverId: server.id, release: limits.claim(server)};
    return true;
  }

  function tryTake(): BackendEntry | undefined {
    if (reserved === undefined) return undefined;
    const {serverId} = reserved;
    const server = listDecodeEngines().find(({id}) => id === serverId);
    if (server === undefined) cancel();
    reserved = undefined;
    return server;
  }

  function cancel(): void {
    reserved?.release();
    reserved = undefined;
  }
}
