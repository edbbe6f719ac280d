/** Keeps a connection to one backend server that its process has accepted, and gets proofs on it that the process lives. */
import {scheduleAfterInput} from '../runtime';
import type {Clock} from '../runtime/types';
import type {BackendCall, OpenCall} from './backend_call';
import {createBoundedBody} from './bounded_body';
import type {Connection} from './connection';
import {type ProcessCheck, type ProcessChecks} from './process_check';
import {
  CheckResult,
  createProcessProofs,
  type ProcessLink,
  type ProcessProofs,
} from './process_proofs';
import type {BackendEntry} from './types';

/** The head of an answer and the request that it came for. */
export interface AnswerArrival {
  readonly status: number;
  readonly rawHeaders: readonly string[];
  /** When the request was sent, on the monotonic clock, in milliseconds. */
  readonly sentAtMs: number;
  /** Undefined for the gateway's own calls. */
  readonly requestId: string | undefined;
}

/** The witness of one server's process. */
export interface ProcessWitness {
  /** True when no later statement of the server could show that an answer is whole, unless a connection was accepted before. */
  isNeeded(): boolean;
  /** Sends a request once an idle connection is there that the process has accepted, or at the latest after a short time. */
  prepare(send: () => OpenCall): OpenCall;
  readonly checkProcess: ProcessProofs['checkProcess'];
  /** Records the head of any answer of the server. */
  recordAnswer(connection: Connection, arrival: AnswerArrival): void;
  /** Goes on after a connection has become idle or was closed. */
  update(): void;
  /** Calls nothing back any more. */
  close(): void;
}

/** Options of a witness. */
export interface ProcessWitnessOptions {
  readonly server: BackendEntry;
  readonly clock: Clock;
  readonly checks?: ProcessChecks;
  /** Lists the connections to the server, idle and busy ones. */
  readonly listConnections: () => readonly Connection[];
  /** Sends a call on an idle connection, or on any. */
  readonly sendCall: (
    request: BackendCall,
    connection?: Connection,
  ) => OpenCall;
}

/** Time-out of a check, in milliseconds: a packet may be lost and sent again. */
const CHECK_TIMEOUT_MS = 500;
/** Longest time that a request waits for a witness, in milliseconds: less than latency objectives allow. */
const PREPARE_TIMEOUT_MS = 100;
/** The same once the server has answered without a length, in milliseconds: a late answer is worth more than one whose end cannot be judged. */
const UNFRAMED_PREPARE_TIMEOUT_MS = 400;

/** Creates the witness; it sends nothing until it is asked. */
export function createProcessWitness(
  options: ProcessWitnessOptions,
): ProcessWitness {
  const {server, clock, checks, listConnections} = options;
  /** Sends the requests that wait for a witness. */
  const waiting = new Set<() => void>();
  let hasUnframed = false;
  const proofs = createProcessProofs({
    clock,
    listLinks: listConnections,
    canState: checks?.canState(server) ?? false,
    sendCheck: (link, onEnd) => {
      const check = checks?.tryBuild(server);
      if (check === undefined) return false;
      sendCheck(check, onEnd, findConnection(link));
      return true;
    },
  });
  return {
    isNeeded: () => checks?.isStating(server) === false,
    prepare,
    checkProcess: proofs.checkProcess,
    recordAnswer,
    update: proofs.update,
    close: proofs.close,
  };

  function findConnection(link?: ProcessLink): Connection | undefined {
    return listConnections().find(connection => connection === link);
  }

  function prepare(send: () => OpenCall): OpenCall {
    const hasWitness = listConnections().some(
      ({isOpen, isIdle, acceptedAtMs}) =>
        isOpen && isIdle && acceptedAtMs !== undefined,
    );
    if (hasWitness || checks?.canPrepare(server) !== true) return send();
    if (waiting.size === 0) {
      const check = checks.tryBuild(server);
      if (check === undefined) return send();
      sendCheck(check, () => {
        for (const sendNext of [...waiting]) sendNext();
      });
    }
    return createWaitingCall(send);
  }

  function createWaitingCall(send: () => OpenCall): OpenCall {
    let open: OpenCall | undefined;
    let isPaused = false;
    const timeoutMs = hasUnframed
      ? UNFRAMED_PREPARE_TIMEOUT_MS
      : PREPARE_TIMEOUT_MS;
    const timer = scheduleAfterInput(clock, timeoutMs, sendNow);
    waiting.add(sendNow);
    return {
      cancel: () => {
        timer.cancel();
        waiting.delete(sendNow);
        open?.cancel();
      },
      setPaused: next => {
        isPaused = next;
        open?.setPaused(next);
      },
      isSent: () => open?.isSent() ?? false,
      getEvidence: () => open?.getEvidence(),
    };

    function sendNow(): void {
      if (!waiting.delete(sendNow)) return;
      timer.cancel();
      open = send();
      if (isPaused) open.setPaused(true);
    }
  }

  /** Calls back once the answer to a check has ended or failed. */
  function sendCheck(
    check: ProcessCheck,
    onEnd: (result: CheckResult) => void,
    connection?: Connection,
  ): void {
    const body = createBoundedBody();
    let status = 0;
    const settle = (result: CheckResult) => {
      timer.cancel();
      onEnd(result);
    };
    const cancel = () => {
      open.cancel();
      settle(CheckResult.Nothing);
    };
    const timer = scheduleAfterInput(clock, CHECK_TIMEOUT_MS, cancel);
    const open = options.sendCall(
      {
        server,
        ...check.call,
        handler: {
          onAnswer: answerStatus => {
            status = answerStatus;
          },
          onData: chunk => {
            if (!body.add(chunk)) cancel();
          },
          onEnd: () => settle(check.parseResult(status, body.read())),
          onFailure: () => settle(CheckResult.Nothing),
          needsProof: () => false,
        },
      },
      connection,
    );
  }

  function recordAnswer(
    connection: Connection,
    {status, rawHeaders, sentAtMs, requestId}: AnswerArrival,
  ): void {
    const isOwn = checks?.isOwnAnswer(status, rawHeaders, requestId) ?? true;
    if (isOwn) proofs.recordAnswer(connection, sentAtMs);
    hasUnframed ||= connection.isUnframed;
    connection.acceptedAtMs ??= clock.getMonotonicMs();
  }
}
