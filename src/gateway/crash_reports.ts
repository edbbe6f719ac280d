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
  /** Resolves to true when the process of a server that was there at a time, on the monotonic clock, in milliseconds, shows that it lives. */
  readonly checkProcess: (
    server: BackendEntry,
    sinceMs: number,
  ) => Promise<boolean>;
  readonly onReport: (report: CrashReport) => void;
  /** Called instead when the server has not ended. */
  readonly onDropped: (
    serverId: string,
    streams: readonly BrokenStream[],
  ) => void;
}

/** Time in which all connections to a crashed server break off at one node, in milliseconds. */
const REPORT_DELAY_MS = 15;
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
    const brokenAtMs = clock.getMonotonicMs();
    clock.schedule(REPORT_DELAY_MS, () => {
      void options.checkProcess(server, brokenAtMs).then(submit);
    });

    function submit(isAlive: boolean): void {
      unreported.delete(key);
      if (isAlive) {
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
