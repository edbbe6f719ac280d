/**
 * Shows that the process of one backend server outlived a moment, such as the
 * end of an answer without a length, which ends with its connection like all
 * that is under way when the process ends. Only what the process says
 * afterwards shows that it lives: its answer to something that was sent after
 * that moment, on a connection that it had accepted before it got the request
 * in question, or a statement of which process it is. An open connection shows
 * nothing, because its end may be on its way.
 */
import {scheduleAfterInput} from '../runtime';
import type {Clock, Timer} from '../runtime/types';

/** A connection to the server. */
export interface ProcessLink {
  readonly isOpen: boolean;
  /** True between two requests. */
  readonly isIdle: boolean;
  /** When the first answer arrived on it, on the monotonic clock, in milliseconds; before that, it may wait to be accepted by a process that is yet to start. */
  readonly acceptedAtMs: number | undefined;
}

/** What shows that the process lives. */
export const ProcessProof = {
  /** It answered a later request on a connection that it had accepted before. */
  Answered: 'answered-after-the-end',
  /** It stated afterwards that it is the process that the request was sent to. */
  Stated: 'same-process-states',
  /** Nothing; it may live or not. */
  None: 'no-statement',
} as const;
export type ProcessProof = (typeof ProcessProof)[keyof typeof ProcessProof];

/** What the answer to a check states, whichever connection it came on. */
export const CheckResult = {
  /** The process that requests are sent to gave it. */
  SameProcess: 'same-process',
  /** Another process gave it. */
  OtherProcess: 'other-process',
  /** It does not say, or there was none. */
  Nothing: 'nothing',
} as const;
export type CheckResult = (typeof CheckResult)[keyof typeof CheckResult];

/** The proofs about one server. */
export interface ProcessProofs {
  /**
   * Calls back once with what shows that the process that got a request, sent at
   * `sentAtMs` on the monotonic clock, lives now. The returned function cancels.
   */
  checkProcess(
    sentAtMs: number,
    callback: (proof: ProcessProof) => void,
  ): () => void;
  /** Records that a request, sent at `sentAtMs`, was answered on a connection. */
  recordAnswer(link: ProcessLink, sentAtMs: number): void;
  /** Goes on after a connection has become idle or was closed. */
  update(): void;
  /** Calls nothing back any more. */
  close(): void;
}

/** Options of the proofs. */
export interface ProcessProofsOptions {
  readonly clock: Pick<Clock, 'getMonotonicMs' | 'schedule'>;
  readonly listLinks: () => readonly ProcessLink[];
  /** True when the answer to a check may state which process gave it. */
  readonly canState: boolean;
  /** Sends a check on a connection, or on any when `link` is undefined, and calls back once; returns false when the server must get none now. */
  readonly sendCheck: (
    link: ProcessLink | undefined,
    onEnd: (result: CheckResult) => void,
  ) => boolean;
}

/** Longest time that a proof is waited for, in milliseconds: a lost packet is sent again several times, and a caller's patience is longer. */
const PROOF_TIMEOUT_MS = 1_000;
/** Maximum number of checks for one proof. */
const MAX_CHECKS = 3;
/** Interval at which a check that must not be sent is tried again, in milliseconds. */
const RETRY_INTERVAL_MS = 25;

interface PendingProof {
  readonly sentAtMs: number;
  readonly sinceMs: number;
  checkCount: number;
  readonly settle: (proof: ProcessProof) => void;
  readonly cancel: () => void;
}

/** Creates the proofs about one server. */
export function createProcessProofs(
  options: ProcessProofsOptions,
): ProcessProofs {
  const {clock, listLinks, canState} = options;
  const pending = new Set<PendingProof>();
  let isChecking = false;
  let retryTimer: Timer | undefined;
  return {checkProcess, recordAnswer, update, close};

  function checkProcess(
    sentAtMs: number,
    callback: (proof: ProcessProof) => void,
  ): () => void {
    const timer = scheduleAfterInput(clock, PROOF_TIMEOUT_MS, () =>
      proof.settle(ProcessProof.None),
    );
    const cancel = () => {
      timer.cancel();
      return pending.delete(proof);
    };
    const proof: PendingProof = {
      sentAtMs,
      sinceMs: clock.getMonotonicMs(),
      checkCount: 0,
      settle: result => {
        if (cancel()) callback(result);
      },
      cancel,
    };
    pending.add(proof);
    update();
    return cancel;
  }

  function recordAnswer({acceptedAtMs}: ProcessLink, sentAtMs: number): void {
    for (const proof of [...pending]) {
      const isLater = sentAtMs >= proof.sinceMs;
      if (isLater && isBefore(acceptedAtMs, proof)) {
        proof.settle(ProcessProof.Answered);
      }
    }
  }

  function update(): void {
    for (const proof of [...pending]) {
      if (!canBeGiven(proof)) proof.settle(ProcessProof.None);
    }
    if (!isChecking && pending.size > 0) sendCheck();
  }

  function canBeGiven(proof: PendingProof): boolean {
    if (proof.checkCount >= MAX_CHECKS) return false;
    return (
      canState ||
      listLinks().some(
        link => link.isOpen && isBefore(link.acceptedAtMs, proof),
      )
    );
  }

  /** Sends one check at a time, which serves all proofs that were requested before it. */
  function sendCheck(): void {
    const link = chooseLink();
    // A connection that is busy can serve once it is idle.
    if (link === undefined && !canState) return;
    const asked = [...pending];
    isChecking = true;
    const isSent = options.sendCheck(link, result => {
      isChecking = false;
      for (const proof of asked) applyResult(proof, result);
      update();
    });
    if (isSent) return;
    isChecking = false;
    retryTimer ??= clock.schedule(RETRY_INTERVAL_MS, () => {
      retryTimer = undefined;
      update();
    });
  }

  function applyResult(proof: PendingProof, result: CheckResult): void {
    proof.checkCount++;
    if (result === CheckResult.SameProcess) proof.settle(ProcessProof.Stated);
    if (result === CheckResult.OtherProcess) proof.settle(ProcessProof.None);
  }

  function close(): void {
    for (const proof of [...pending]) proof.cancel();
    retryTimer?.cancel();
  }

  /** Returns the idle connection that was accepted first, if a proof can rest on it. */
  function chooseLink(): ProcessLink | undefined {
    const [first] = listLinks()
      .filter(link => link.isOpen && link.isIdle)
      .filter(link => link.acceptedAtMs !== undefined)
      .sort((left, right) => getAcceptedMs(left) - getAcceptedMs(right));
    if (first === undefined) return undefined;
    const isUseful = [...pending].some(proof =>
      isBefore(first.acceptedAtMs, proof),
    );
    return isUseful ? first : undefined;
  }
}

function isBefore(
  acceptedAtMs: number | undefined,
  {sentAtMs}: PendingProof,
): boolean {
  return acceptedAtMs !== undefined && acceptedAtMs < sentAtMs;
}

function getAcceptedMs({acceptedAtMs = Infinity}: ProcessLink): number {
  return acceptedAtMs;
}
