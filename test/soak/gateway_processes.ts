/** Real gateway processes on loopback, started and ended by their ids. */
import {type ChildProcess, spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {buildSettings} from '../platform/system';
import {listFreePorts} from '../support/program';

/** Path of the program, as `node scripts/build_gateway.mjs` writes it. */
const PROGRAM = 'target/anvilstack.cjs';

/** Pause before a process that ended by itself starts again, in milliseconds. */
const RESTART_DELAY_MS = 200;

/** One node; its process may be restarted. */
export interface NodeProcess {
  readonly name: string;
  readonly callersPort: number;
  readonly readyPort: number;
  /** Counts the starts of the process. */
  getIncarnation(): number;
  signal(signal: NodeJS.Signals): void;
  /** Resolves when the process is gone. */
  waitForExit(): Promise<void>;
  start(): void;
  listLines(): readonly string[];
  /** Codes with which the process ended by itself, a taken port apart. */
  listUnexpectedExitCodes(): readonly number[];
}

/** All nodes of a run. */
export interface NodeProcesses {
  readonly nodes: readonly NodeProcess[];
  close(): Promise<void>;
}

/** Starts nodes that reach the store through a port. */
export async function startNodeProcesses(
  count: number,
  storePort: number,
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
    nodes.push(createNode(name, path, ports));
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
    const started = spawn(process.execPath, [PROGRAM], {
      env: {PATH: process.env['PATH'], ANVILSTACK_NODE_FILE: settingsPath},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child = started;
    started.once('exit', code => handleExit(started, code));
    for (const stream of [started.stdout, started.stderr]) {
      stream?.on('data', chunk => lines.push(String(chunk)));
    }
  }

  /** A port may be taken by another program of the machine; the process starts again. */
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
