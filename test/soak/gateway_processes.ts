/** Gateway processes on loopback, which are signalled by their process ids. */
import {type ChildProcess, spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {buildSettings} from '../platform/system';
import {listFreePorts} from '../support/program';

/** Output path of `node scripts/build_gateway.mjs`. */
const DEFAULT_PROGRAM = 'target/anvilstack.cjs';

/** Delay before a process that exited with an error is restarted, in milliseconds. */
const RESTART_DELAY_MS = 200;

/** One node, whose process may be restarted. */
export interface NodeProcess {
  readonly name: string;
  readonly callersPort: number;
  readonly readyPort: number;
  readonly controlPort: number;
  readonly peerPort: number;
  /** Number of times that the process was started. */
  getIncarnation(): number;
  signal(signal: NodeJS.Signals): void;
  /** Resolves when the process has exited. */
  waitForExit(): Promise<void>;
  start(): void;
  /** Output of the node's processes so far, in chunks. */
  listLines(): readonly string[];
  /** Exit codes other than 0 with which the process ended by itself, except those due to a port in use. */
  listUnexpectedExitCodes(): readonly number[];
}

/** The nodes of a run. */
export interface NodeProcesses {
  readonly nodes: readonly NodeProcess[];
  close(): Promise<void>;
}

/** Lists the log lines of all nodes. */
export function listAllLines({nodes}: Pick<NodeProcesses, 'nodes'>): string[] {
  return nodes.flatMap(node => node.listLines().join('').split('\n'));
}

/** Starts `count` nodes of a built program whose store address is a loopback port. */
export async function startNodeProcesses(
  count: number,
  storePort: number,
  program = DEFAULT_PROGRAM,
): Promise<NodeProcesses> {
  const folder = mkdtempSync(join(tmpdir(), 'anvilstack-soak-'));
  const seeds: string[] = [];
  const nodes: NodeProcess[] = [];
  for (let index = 0; index < count; index++) {
    const name = `front-${index + 1}`;
    const ports = await listFreePorts(4);
    const path = join(folder, `${name}.toml`);
    writeFileSync(path, buildSettings(name, ports, storePort, seeds));
    seeds.push(`127.0.0.1:${ports[2]}`);
    nodes.push(createNode(name, program, path, ports));
  }
  for (const node of nodes) node.start();
  process.once('exit', () => {
    for (const node of nodes) node.signal('SIGKILL');
  });
  return {
    nodes,
    close: async () => {
      for (const node of nodes) node.signal('SIGKILL');
      await Promise.all(nodes.map(node => node.waitForExit()));
      rmSync(folder, {recursive: true});
    },
  };
}

function createNode(
  name: string,
  program: string,
  settingsPath: string,
  ports: readonly number[],
): NodeProcess {
  let child: ChildProcess | undefined;
  let incarnation = 0;
  const lines: string[] = [];
  const unexpectedExitCodes: number[] = [];
  return {
    name,
    callersPort: ports[0],
    readyPort: ports[1],
    controlPort: ports[2],
    peerPort: ports[3],
    getIncarnation: () => incarnation,
    signal: signal => {
      child?.kill(signal);
    },
    waitForExit: () =>
      new Promise(resolve => {
        const exiting = child;
        if (exiting === undefined || hasEnded(exiting)) return resolve();
        exiting.once('exit', () => resolve());
      }),
    start,
    listLines: () => lines,
    listUnexpectedExitCodes: () => unexpectedExitCodes,
  };

  function start(): void {
    incarnation++;
    const started = spawn(process.execPath, [program], {
      env: {PATH: process.env['PATH'], ANVILSTACK_NODE_FILE: settingsPath},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child = started;
    started.once('exit', code => handleExit(started, code));
    for (const stream of [started.stdout, started.stderr]) {
      stream?.on('data', chunk => lines.push(String(chunk)));
    }
  }

  /** Restarts a process that failed; when another program holds one of its ports, the exit is not counted. */
  function handleExit(ended: ChildProcess, code: number | null): void {
    if (code === null || code === 0 || child !== ended) return;
    const isPortTaken = lines.at(-1)?.includes('EADDRINUSE') === true;
    if (!isPortTaken) unexpectedExitCodes.push(code);
    setTimeout(start, RESTART_DELAY_MS);
  }
}

function hasEnded(child: ChildProcess): boolean {
  return child.exitCode !== null || child.signalCode !== null;
}
