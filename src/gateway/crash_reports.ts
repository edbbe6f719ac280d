/** Collects the young streams of this node that break off together with the connections to an engine. */
import type {Clock} from '../runtime/types';
import type {BrokenStream, CrashReport} from './crash_evidence';
import {formatProcessKey} from './process_key';
import type {BackendEntry} from './types';

/** The reports of this node. */
export interface CrashReports {
  /** Counts a stream that is sent to an engine. */
  recordSent(): void;
  /** Adds a stream that broke off to the report on its server. */
  recordBroken(server: BackendEntry, stream: BrokenStream): void;
}

/** Options of the reports. */
export interface CrashReportsOptions {
  readonly nodeName: string;
  readonly clock: Pick<Clock, 'getMonotonicMs' | 'schedule'>;
  /** True when any connection to the server is open, so that its process has not ended. */
  readonly isConnected: (serverId: string) => boolean;
  readonly onReport: (report: CrashReport) => void;
  /** Called instead when the server has not ended. */
  readonly onDropped: (
    serverId: string,
    streams: readonly BrokenStream[],
  ) => void;
}

/** Time in which all connections to a crashed server break off at one node, in milliseconds. */
const REPORT_DELAY_MS = 15;
/** Additional time for the other connections, in milliseconds: a busy node reads their ends late. */
const RECHECK_DELAY_MS = 100;
/** Time constant with which the counts decay, in milliseconds: many times the time between two crashes that have one cause. */
const TIME_CONSTANT_MS = 15_000;

/** Creates reports of a node that has not sent any stream. */
export function createCrashReports(options: CrashReportsOptions): CrashReports {
  const {nodeName, clock, onReport} = options;
  /** Streams that broke off, by server, until they are reported. */
  const unreported = new Map<string, BrokenStream[]>();
  let streamCount = 0;
  let brokenCount = 0;
  let begunCount = 0;
  let updatedAtMs = clock.getMonotonicMs();
  return {
    recordSent: () => {
      updateCounts();
      streamCount++;
    },
    recordBroken,
  };

  function recordBroken(server: BackendEntry, stream: BrokenStream): void {
    const {id: serverId, startedAtMs} = server;
    const key = formatProcessKey(serverId, startedAtMs);
    const known = unreported.get(key);
    if (known !== undefined) {
      known.push(stream);
      return;
    }
    const streams = [stream];
    unreported.set(key, streams);
    clock.schedule(REPORT_DELAY_MS, () => submit(RECHECK_DELAY_MS));

    /** Reports the streams unless the server is still connected after `recheckMs` more, in milliseconds. */
    function submit(recheckMs: number): void {
      const isConnected = options.isConnected(serverId);
      if (isConnected && recheckMs > 0) {
        clock.schedule(recheckMs, () => submit(0));
        return;
      }
      unreported.delete(key);
      if (isConnected) {
        options.onDropped(serverId, streams);
        return;
      }
      updateCounts();
      brokenCount += streams.length;
      begunCount += streams.filter(({hasBegun}) => hasBegun).length;
      onReport({
        from: nodeName,
        serverId,
        startedAtMs,
        streams,
        streamCount,
        brokenCount,
        begunCount,
      });
    }
  }

  function updateCounts(): void {
    const nowMs = clock.getMonotonicMs();
    const factor = Math.exp((updatedAtMs - nowMs) / TIME_CONSTANT_MS);
    streamCount *= factor;
    brokenCount *= factor;
    begunCount *= factor;
    updatedAtMs = nowMs;
  }
}
