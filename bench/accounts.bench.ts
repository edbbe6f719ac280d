/** Client accounts: time to authenticate a request and to apply a new version, and memory of the table. */
import {
  authenticate,
  type ClientAccount,
  createAccountTable,
  getKeyDigest,
} from '../src/accounts';
import {createBackendProtocol} from '../src/platform';
import {tryParseConfig} from '../src/platform/operator_config';

const COUNTS = [100, 10_000, 39_000];
const ROUNDS = 15;
const LOOKUPS = 200_000;
/** Callers that send most requests; the others' digests are rarely in the processor's cache. */
const BUSY_CALLERS = 100;
const REQUESTS = 20_000;
/** Headers of a model request. */
const HEADERS = [
  ...['Host', 'desk.example', 'Anvilstack-Request-Id', 'request-0123456789'],
  ...['Anvilstack-Deadline-Ms', '5000', 'Content-Length', '4000'],
  ...['Anvilstack-Model', 'm', 'Anvilstack-Token-Count', '4000,200'],
  ...['Anvilstack-Prompt-Prefix', 'aaaa:2000,bbbb:1000,cccc:1000'],
];

const protocol = createBackendProtocol();
const runs = COUNTS.map(createRun);

// The counts take turns, so that load from other programs affects all of them alike.
for (let round = 0; round < ROUNDS; round++) for (const run of runs) run();
for (const run of runs) run.report();
for (const count of COUNTS) reportMemory(count);
for (const count of COUNTS) reportVersion(count);

function formatKey(index: number): string {
  return `key-${index}-${'x'.repeat(32)}`;
}

function createAccounts(count: number): ClientAccount[] {
  return Array.from({length: count}, (_, index) => ({
    name: `account-${index}`,
    keyDigests: [getKeyDigest(formatKey(index))],
  }));
}

function createRun(count: number) {
  const table = createAccountTable();
  table.update(createAccounts(count));
  const keys = Array.from({length: REQUESTS}, () =>
    formatKey(Math.floor(Math.random() * count)),
  );
  const digests = Array.from({length: LOOKUPS}, () =>
    getKeyDigest(formatKey(Math.floor(Math.random() * count))),
  );
  const busyDigests = digests.map(
    (_, index) => digests[index % Math.min(count, BUSY_CALLERS)],
  );
  const times = {
    all: [] as number[],
    any: [] as number[],
    busy: [] as number[],
  };
  return Object.assign(
    () => {
      times.all.push(runItems(keys, authenticateKey));
      times.any.push(runItems(digests, table.tryFind));
      times.busy.push(runItems(busyDigests, table.tryFind));
    },
    {
      report: () =>
        print('lookup', count, {
          authenticateUs: getMedian(times.all) / 1_000,
          randomNs: getMedian(times.any),
          randomLeastNs: Math.min(...times.any),
          busyNs: getMedian(times.busy),
          busyLeastNs: Math.min(...times.busy),
        }),
    },
  );

  function authenticateKey(key: string): unknown {
    const {keyDigest} = protocol.parseCallerRequest([
      ...HEADERS,
      'Authorization',
      `Bearer ${key}`,
    ]);
    return authenticate({
      accounts: table,
      isPublic: false,
      ...(keyDigest === undefined ? {} : {keyDigest}),
      stateAgeMs: 100,
      bounds: {configApplyMs: 2_000},
    });
  }
}

/** Returns the mean time per item, in nanoseconds. */
function runItems<T>(items: readonly T[], call: (item: T) => unknown): number {
  let found = 0;
  const startedAtMs = performance.now();
  for (const item of items) if (call(item) !== undefined) found++;
  const elapsedMs = performance.now() - startedAtMs;
  if (found !== items.length) throw new Error('accounts are missing');
  return (elapsedMs * 1e6) / items.length;
}

/** Measures the table without the accounts, which are part of the configuration, and both together. */
function reportMemory(count: number): void {
  const startBytes = getHeapBytes();
  const accounts = createAccounts(count);
  const listBytes = getHeapBytes();
  const table = createAccountTable();
  table.update(accounts);
  const endBytes = getHeapBytes();
  print('memory', count, {
    tableMb: (endBytes - listBytes) / 1e6,
    withAccountsMb: (endBytes - startBytes) / 1e6,
    keys: table.getSummary().keys,
  });
}

/** Measures what a new version in which one key differs takes. */
function reportVersion(count: number): void {
  const tenants = Array.from({length: count}, (_, index) => ({
    name: `account-${index}`,
    apiKeys: [formatKey(index)],
  }));
  const table = createAccountTable();
  const times = {
    json: [] as number[],
    hash: [] as number[],
    decode: [] as number[],
    update: [] as number[],
  };
  for (let version = 1; version <= ROUNDS; version++) {
    tenants[version].apiKeys = [`new-${version}`];
    const text = JSON.stringify({version, tenants});
    times.json.push(runTimedMs(() => JSON.parse(text)));
    times.hash.push(
      runTimedMs(() => tenants.map(item => getKeyDigest(item.apiKeys[0]))),
    );
    let config: ReturnType<typeof tryParseConfig>;
    times.decode.push(runTimedMs(() => (config = tryParseConfig(text))));
    const accounts = config?.accounts ?? [];
    const updateMs = runTimedMs(() => table.update(accounts));
    if (version > 1) times.update.push(updateMs);
    if (table.getSummary().accounts !== count) throw new Error('not applied');
  }
  print('version', count, {
    parseJsonMs: getMedian(times.json),
    hashMs: getMedian(times.hash),
    decodeMs: getMedian(times.decode),
    updateMs: getMedian(times.update),
    longestUpdateMs: Math.max(...times.update),
  });
}

function runTimedMs(call: () => unknown): number {
  const startedAtMs = performance.now();
  call();
  return performance.now() - startedAtMs;
}

function getHeapBytes(): number {
  for (let count = 0; count < 4; count++) globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function getMedian(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
}

function print(
  what: string,
  count: number,
  values: Readonly<Record<string, number>>,
): void {
  const rounded = Object.entries(values).map(
    ([name, value]) => `${name} ${value.toFixed(2)}`,
  );
  console.log(`${what} ${count} accounts: ${rounded.join(', ')}`);
}
