/** The gateway as a process: start, signals and exit codes. */
import assert from 'node:assert/strict';
import {execFileSync, spawn} from 'node:child_process';
import {
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer, type AddressInfo} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {before, test} from 'node:test';
import {startStoreStandin} from './store_standin';
import {listFreePorts} from '../support/program';
import {
  buildConfig,
  buildDutySettings,
  buildSettings,
  waitUntil,
} from './system';

const PROGRAM = join(mkdtempSync(join(tmpdir(), 'anvilstack-')), 'gateway.cjs');

before(() => {
  execFileSync(process.execPath, ['scripts/build_gateway.mjs', PROGRAM]);
});

interface RunningProcess {
  readonly settingsPath: string;
  readonly kill: (signal: NodeJS.Signals) => void;
  readonly getOutput: () => string;
}

interface ProcessResult {
  readonly code: number | null;
  readonly output: string;
}

/** Returns the flags with which deploy/system.toml runs the program. */
function listDeployedFlags(): string[] {
  const run = /^run = "node (.*) target/m.exec(
    readFileSync('deploy/system.toml', 'utf8'),
  );
  return run?.[1].split(' ') ?? [];
}

/** Returns what a gateway that has started prints. */
async function collectStartOutput(flags: readonly string[]): Promise<string> {
  const ports = await listFreePorts(4);
  const store = await startStoreStandin();
  store.put('keyed.op', 'config', buildConfig(1));
  const ended = await runGateway(
    buildSettings('front-1', ports, store.port, []),
    running =>
      waitUntil('it has started', () =>
        running.getOutput().includes('"message":"gateway started"'),
      ),
    flags,
  );
  store.close();
  assert.equal(ended.code, 0);
  return ended.output;
}

/** Runs a gateway until it exits; with `interact` it is sent SIGTERM once that has ended. It is killed after 15 s. */
function runGateway(
  settings: string,
  interact?: (running: RunningProcess) => Promise<void>,
  flags: readonly string[] = [],
): Promise<ProcessResult> {
  const path = join(mkdtempSync(join(tmpdir(), 'anvilstack-')), 'boot.toml');
  writeFileSync(path, settings);
  const child = spawn(process.execPath, [...flags, PROGRAM], {
    env: {PATH: process.env['PATH'], ANVILSTACK_NODE_FILE: path},
  });
  let output = '';
  child.stdout.on('data', chunk => (output += String(chunk)));
  child.stderr.on('data', chunk => (output += String(chunk)));
  const killTimer = setTimeout(() => child.kill('SIGKILL'), 15_000);
  const running = {
    settingsPath: path,
    kill: (signal: NodeJS.Signals) => void child.kill(signal),
    getOutput: () => output,
  };
  void interact?.(running).then(() => child.kill('SIGTERM'));
  return new Promise<ProcessResult>(resolve => {
    child.on('exit', code => {
      clearTimeout(killTimer);
      resolve({code, output});
    });
  });
}

test('a process that cannot listen exits with 1 and names the cause', async () => {
  const ports = await listFreePorts(4);
  const other = createServer();
  await new Promise<void>(resolve => other.listen(0, '127.0.0.1', resolve));
  const taken = (other.address() as AddressInfo).port;
  const store = await startStoreStandin();
  const ended = await runGateway(
    buildSettings('front-1', [taken, ...ports.slice(1)], store.port, []),
  );
  assert.equal(ended.code, 1);
  assert.match(ended.output, /EADDRINUSE/);
  other.close();
  store.close();
});

test('a process with invalid settings exits with 2 and names file and key', async () => {
  const ended = await runGateway('nodeName = "n"\n');
  assert.equal(ended.code, 2);
  assert.match(ended.output, /boot\.toml: key 'portRange'/);
});

test('a process exits with 0 within its shutdown time after SIGTERM', async () => {
  const ports = await listFreePorts(4);
  const store = await startStoreStandin();
  store.put('keyed.op', 'config', buildConfig(1));
  const startedAt = performance.now();
  const ended = await runGateway(
    buildSettings('front-1', ports, store.port, []),
    () =>
      waitUntil('the process answers', async () => {
        const url = `http://127.0.0.1:${ports[1]}/readyz`;
        const response = await fetch(url).catch(() => undefined);
        return response !== undefined;
      }),
  );
  assert.equal(ended.code, 0);
  assert.match(ended.output, /"message":"gateway stopped"/);
  assert.ok(performance.now() - startedAt < 12_000);
  store.close();
});

test('SIGHUP reads the settings again; invalid settings are logged, and the process keeps running', async () => {
  const ports = await listFreePorts(4);
  const store = await startStoreStandin();
  const settings = buildSettings('front-1', ports, store.port, []);
  const ended = await runGateway(settings, async running => {
    const waitForLine = (pattern: RegExp) =>
      waitUntil(String(pattern), () => pattern.test(running.getOutput()));
    await waitForLine(/"message":"gateway started"/);
    running.kill('SIGHUP');
    await waitForLine(/"level":"info","message":"settings were read again"/);
    writeFileSync(running.settingsPath, 'nodeName = "n"\n');
    running.kill('SIGHUP');
    await waitForLine(
      /"level":"error","message":"settings were read again".*boot\.toml: key 'portRange'/,
    );
    const response = await fetch(`http://127.0.0.1:${ports[1]}/readyz`);
    assert.equal(response.status, 503);
  });
  assert.equal(ended.code, 0);
  store.close();
});

// The program bundles only the parts of libraries that are named in the build.
test('a process with duties starts and stops', async () => {
  const ports = await listFreePorts(5);
  const store = await startStoreStandin();
  const settings =
    buildSettings('front-1', ports, store.port, []) +
    buildDutySettings(ports[4]);
  const ended = await runGateway(settings, running =>
    waitUntil('the gateway starts', () =>
      running.getOutput().includes('"message":"gateway started"'),
    ),
  );
  assert.equal(ended.code, 0, ended.output);
  store.close();
});

test('a second SIGTERM does not end a process that is being stopped', async () => {
  const ports = await listFreePorts(4);
  const store = await startStoreStandin();
  store.put('keyed.op', 'config', buildConfig(1));
  const ended = await runGateway(
    buildSettings('front-1', ports, store.port, []),
    async running => {
      const waitForLine = (text: string) =>
        waitUntil(text, () => running.getOutput().includes(text));
      await waitForLine('"message":"gateway started"');
      running.kill('SIGTERM');
      await waitForLine('"message":"gateway stopping"');
    },
  );
  assert.equal(ended.code, 0);
  assert.match(ended.output, /"message":"gateway stopped"/);
  store.close();
});

test('the code cache is used with the deployed flags; without a valid one the program starts and says so in one line', async () => {
  const flags = listDeployedFlags();
  assert.ok(flags.length > 0);
  const refusal = /^code cache not used: .*$/gm;
  assert.doesNotMatch(await collectStartOutput(flags), refusal);
  assert.equal((await collectStartOutput([])).match(refusal)?.length, 1);
  const directory = dirname(PROGRAM);
  const caches = readdirSync(directory).filter(name => name.endsWith('.cache'));
  assert.equal(caches.length, 1);
  const cachePath = join(directory, caches[0]);
  const cache = readFileSync(cachePath);
  const damaged = Buffer.from(cache);
  damaged.fill(0x55, cache.length >> 1, (cache.length >> 1) + 100);
  for (const change of [
    () => writeFileSync(cachePath, damaged),
    () => writeFileSync(cachePath, cache.subarray(0, cache.length >> 1)),
    () => rmSync(cachePath),
  ]) {
    change();
    assert.equal((await collectStartOutput(flags)).match(refusal)?.length, 1);
  }
});
