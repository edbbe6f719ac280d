/** What a report says about the process of its engine: the same for engines whose answer is late and for ends of answers without a length. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createEngineLiveness} from '../../src/gateway/engine_liveness';
import {createProcessChecks} from '../../src/gateway/process_check';
import type {BackendCall} from '../../src/gateway/backend_call';
import {createBackendProtocol} from '../../src/platform';
import {createVirtualClock} from '../../src/runtime';
import {createEntry, SILENT_LOGGER} from './support';

const CASES: ReadonlyArray<{
  readonly name: string;
  readonly status?: number;
  readonly body: string;
  readonly listedMs?: number;
  readonly expected: 'same-process' | 'other-process' | 'nothing';
}> = [
  {
    name: 'the listed start',
    body: '{"seq":0,"born":7}',
    expected: 'same-process',
  },
  {
    name: 'another start',
    body: '{"seq":0,"born":8}',
    expected: 'other-process',
  },
  {name: 'no start', body: '{"seq":1}', expected: 'nothing'},
  {name: 'the start 0', body: '{"seq":0,"born":0}', expected: 'nothing'},
  // The entry does not say which process is listed.
  {
    name: 'a start while the entry has none',
    body: '{"seq":0,"born":8}',
    listedMs: 0,
    expected: 'nothing',
  },
  // Another server has taken over the address.
  {name: 'a 421', status: 421, body: '', expected: 'other-process'},
  {
    name: 'a failure with a start',
    status: 500,
    body: '{"seq":0,"born":8}',
    expected: 'nothing',
  },
  {name: 'no JSON', body: 'born', expected: 'nothing'},
];

for (const {name, status = 200, body, listedMs = 7, expected} of CASES) {
  test(`a report with ${name} is judged alike by both checks`, async () => {
    const clock = createVirtualClock();
    const protocol = createBackendProtocol();
    const stage = 'decode' as const;
    const server = createEntry({id: 'p1', stage, startedAtMs: listedMs});
    const pauses = {isPaused: () => false};
    const limits = {canSend: () => true, isLimited: () => false};
    const state = {tryGetService: () => undefined};
    const checks = createProcessChecks({protocol, state, pauses, limits});
    const bytes = Buffer.from(body);
    const result = checks.tryBuild(server)?.parseResult(status, bytes);
    assert.equal(result, expected);

    const liveness = createEngineLiveness({
      clock,
      logger: SILENT_LOGGER,
      metrics: {recordLivenessCheck: () => undefined},
      connections: {call: answerCall},
      protocol,
      health: {recordResponse: () => undefined},
      pauses,
      limits,
    });
    const outcome = liveness.check(server);
    await clock.advance(10);
    // Any answer in the engine's name shows that a process runs.
    const isOther = expected === 'other-process';
    assert.equal((await outcome).state, isOther ? 'replaced' : 'alive');

    function answerCall({handler}: BackendCall) {
      clock.schedule(1, () => {
        handler.onAnswer(status, [], {isFirst: true, isFramed: true});
        handler.onData(bytes);
        handler.onEnd();
      });
      return {
        cancel: () => undefined,
        setPaused: () => undefined,
        isSent: () => true,
        getEvidence: () => undefined,
      };
    }
  });
}
