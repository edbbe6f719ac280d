import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {test} from 'node:test';
import {createBackendProtocol, parseNodeSettings} from '../../src/platform';
import {tryParseConfig} from '../../src/platform/operator_config';
import {tryParseEntry} from '../../src/platform/server_entry';
import {
  encodeKeyedRecord,
  tryDecodeKeyedRecord,
} from '../../src/platform/store_records';
import {buildConfig} from './system';

/** Names from the platform's documentation that must not occur outside the adapter. */
const PLATFORM_NAMES =
  /anvilstack-(?:token-count|prompt-prefix|request-urgency|kv-source|target-instance|response-seal|not-executed|stage)|server-limit|log-(?:append|read|newest|join)|keyed\.(?:op|servers|status)|transferHandle|kvTokenBytes|pathPrefix'/i;
const ADAPTER = join('src', 'platform');
/** Largest fraction of the source lines that the adapter may have. */
const MAX_ADAPTER_FRACTION = 0.1;

function listSources(): string[] {
  return readdirSync('src', {recursive: true, encoding: 'utf8'})
    .filter(name => name.endsWith('.ts'))
    .map(name => join('src', name));
}

function countLines(files: readonly string[]): number {
  return files
    .map(file => readFileSync(file, 'utf8').split('\n').length)
    .reduce((sum, lines) => sum + lines, 0);
}

test("only the adapter uses the platform's names", () => {
  const leaks = listSources()
    .filter(file => !file.startsWith(ADAPTER))
    .filter(file => PLATFORM_NAMES.test(readFileSync(file, 'utf8')));
  assert.deepEqual(leaks, []);
});

test('the adapter has less than a tenth of the source lines', () => {
  const sources = listSources();
  const adapter = sources.filter(file => file.startsWith(ADAPTER));
  assert.ok(countLines(adapter) < MAX_ADAPTER_FRACTION * countLines(sources));
});

test('the adapter only translates: it imports no code that makes decisions', () => {
  const imports = listSources()
    .filter(file => file.startsWith(ADAPTER))
    .flatMap(file => [
      ...readFileSync(file, 'utf8').matchAll(/from '(\.\.[^']*)'/g),
    ])
    .map(match => match[1]);
  assert.deepEqual([...new Set(imports)].sort(), [
    '../gateway',
    '../settings/toml_positions',
  ]);
});

test('an error in the settings is reported with file, position and key', () => {
  const readFault = (text: string) => {
    const result = parseNodeSettings(text, 'boot.toml');
    return result.err ? result.val : 'none';
  };
  assert.equal(
    readFault('nodeName = "n"\n'),
    "boot.toml: key 'portRange': expected a list of two ports",
  );
  assert.equal(
    readFault(
      'nodeName = "n"\nip = "10.0.0.1"\nzone = "z"\nportRange = [1, 2]\n[listen]\nfront = "nowhere"\n',
    ),
    "boot.toml:6:1: key 'listen.front': expected HOST:PORT",
  );
  const syntax = parseNodeSettings('nodeName = \n', 'boot.toml');
  assert.match(String(syntax.err && syntax.val), /^boot\.toml: /);
});

test('a configuration is decoded into routes, services and limits', () => {
  const config = tryParseConfig(buildConfig(7));
  assert.equal(config?.version, 7);
  assert.deepEqual(
    config?.routes.map(route => [
      route.kind,
      route.maxServers,
      route.isResumable,
    ]),
    [
      ['idempotent', 2, false],
      ['non-idempotent', 1, false],
      ['stream', 1, false],
      ['stream', 2, true],
    ],
  );
  assert.equal(config?.services[1].engine?.stageChangeMs, 1_000);
});

test('a route with several backends is split by their weights', () => {
  const text = JSON.stringify({
    version: 1,
    routes: [
      {
        name: 'r',
        host: 'H.example',
        pathPrefix: '/r/',
        routeType: 'stream',
        backends: [
          {service: 'a', weight: 90},
          {service: 'b', weight: 10},
        ],
      },
    ],
  });
  const route = tryParseConfig(text)?.routes[0];
  assert.equal(route?.host, 'h.example');
  assert.deepEqual(route?.services, [
    {service: 'a', weight: 90},
    {service: 'b', weight: 10},
  ]);
});

test('malformed and incomplete entries yield no server', () => {
  const entry = {
    service: 's',
    address: '10.0.0.1:80',
    zone: 'z',
    version: 'v1',
    maxBatch: 8,
    state: 'ready',
    coldLeftMs: 0,
    seq: 0,
  };
  const parse = (changes: object) =>
    tryParseEntry('id', JSON.stringify({...entry, ...changes}));
  assert.ok(parse({}) !== undefined);
  const faults = [
    {service: 7},
    {address: 'nowhere'},
    {address: '10.0.0.1:99999'},
    {state: 'asleep'},
    {zone: undefined},
    {stage: 'other'},
    ...Object.keys(entry).map(key => ({[key]: undefined})),
    ...Object.keys(entry).map(key => ({[key]: null})),
    ...Object.keys(entry).map(key => ({[key]: [1]})),
    ...['maxBatch', 'coldLeftMs', 'seq'].map(key => ({[key]: '8'})),
    ...['maxBatch', 'coldLeftMs', 'seq'].map(key => ({[key]: -1})),
    {version: 1},
    {seq: 0.5},
  ];
  const used = faults.filter(fault => parse(fault) !== undefined);
  assert.deepEqual(used, []);
  assert.equal(tryParseEntry('id', 'no json'), undefined);
});

test('an odd entry of another writer names no server, and the entries beside it hold', () => {
  const entry = {
    service: 's',
    address: '10.0.0.1:80',
    zone: 'z',
    version: 'v1',
    state: 'ready',
    coldLeftMs: 0,
    seq: 4,
    maxBatch: 8,
    born: 1_700_000_000_000,
  };
  const text = JSON.stringify(entry);
  const nested = '['.repeat(60_000) + ']'.repeat(60_000);
  const faults: ReadonlyArray<readonly [string, string]> = [
    ...[
      'x y:80',
      '10.0.0.1 :80',
      '10.0.0.1/a:80',
      'user@10.0.0.1:80',
      '10.0.0.1\t:80',
      '10.0.0.1:0',
      '10.0.0.1:65536',
      '10.0.0.1:080x',
      '-:80',
      '300.0.0.1:80',
      'a..b:80',
      `${'a'.repeat(300)}:80`,
      ':80',
    ].map(address => ['"10.0.0.1:80"', JSON.stringify(address)] as const),
    ['"10.0.0.1:80"', '80'],
    ...['0', '-1', '1.5', '"8"', '1e999', '[8]', 'null'].map(
      value => ['"maxBatch":8', `"maxBatch":${value}`] as const,
    ),
    ...['1.5', '-1', '"x"', '1e999', '{}'].map(
      value => ['1700000000000', value] as const,
    ),
    ['"ready"', '7'],
    ['"z"', nested],
    ['"s"', nested],
  ];
  assert.ok(tryParseEntry('id', text) !== undefined);
  const used = faults.filter(([from, to]) => {
    const odd = text.replace(from, to);
    assert.notEqual(odd, text);
    return tryParseEntry('id', odd) !== undefined;
  });
  assert.deepEqual(used, []);
  assert.equal(tryParseEntry('id', nested), undefined);
  const beside = `${text.slice(0, -1)},"more":${nested}}`;
  assert.ok(tryParseEntry('id', beside) !== undefined);
});

test('records of keyed topics survive encoding and decoding', () => {
  assert.deepEqual(tryDecodeKeyedRecord(encodeKeyedRecord('k', 'value')), {
    key: 'k',
    value: 'value',
  });
  assert.deepEqual(tryDecodeKeyedRecord(encodeKeyedRecord('k', '')), {
    key: 'k',
  });
  assert.equal(tryDecodeKeyedRecord(Buffer.from([9, 1])), undefined);
});

test('hop-by-hop headers and reserved headers are not forwarded', () => {
  const protocol = createBackendProtocol();
  const headers = protocol.buildHeaders(
    [
      'Host',
      'h',
      'Connection',
      'close, X-Hop',
      'X-Hop',
      '1',
      'Transfer-Encoding',
      'chunked',
      'Anvilstack-Pin-Ms',
      '5',
      'Anvilstack-Deadline-Ms',
      '900',
      'X-Kept',
      '2',
    ],
    {deadlineMs: 500.7, serverId: 's', rank: 12},
  );
  assert.deepEqual(headers, [
    'Host',
    'h',
    'X-Kept',
    '2',
    'Anvilstack-Deadline-Ms',
    '500',
    'Anvilstack-Target-Instance',
    's',
    'Anvilstack-Request-Urgency',
    '9',
  ]);
});

test('a limit is decoded as a decimal number; other texts are reported as malformed', () => {
  const {tryParseNotice} = createBackendProtocol();
  const parse = (text: string) => tryParseNotice(200, ['Server-Limit', text]);
  const base = {isLeaving: false, pauseMs: 0};
  for (const [text, limitPerS] of [
    ['4.3', 4.3],
    ['0', 0],
    ['.5', 0.5],
    ['1200', 1_200],
  ] as const) {
    assert.deepEqual(parse(text), {...base, limitPerS});
  }
  for (const text of ['', '-1', 'NaN', 'Infinity', '0x10', '1e3', '4,3']) {
    assert.deepEqual(parse(text), {...base, malformedLimit: text});
  }
  assert.equal(tryParseNotice(200, ['Content-Length', '0']), undefined);
});
