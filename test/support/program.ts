/** Runs the built program in child processes. */
import {type ChildProcess, spawn} from 'node:child_process';
import {createSocket} from 'node:dgram';
import {createServer} from 'node:net';

/** A child process that runs the program. */
export interface ProgramProcess {
  readonly pid: number;
  /** Returns the output so far, standard error included. */
  getOutput(): string;
  /** Resolves with the exit code, or with the signal that ended it. */
  waitForExit(): Promise<number | string>;
  /** Resolves when the output matches; rejects when the process exits before. */
  waitForOutput(pattern: RegExp): Promise<void>;
  sendSignal(signal: NodeJS.Signals): void;
}

/** Environment variables in addition to those of the test process. */
export type ProgramEnvironment = Readonly<Record<string, string>>;

const runningChildren = new Set<ChildProcess>();

/** Starts the binary that ANVILSTACK_BINARY names, else the transpiled program. */
export function startProgram(
  args: readonly string[],
  env: ProgramEnvironment = {},
): ProgramProcess {
  const binary = process.env['ANVILSTACK_BINARY'];
  const command = binary ?? process.execPath;
  const prefix = binary === undefined ? ['build/js/src/main.js'] : [];
  const child = spawn(command, [...prefix, ...args], {
    env: {...process.env, ...env},
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  let output = '';
  const watchers = new Set<() => void>();
  runningChildren.add(child);
  for (const stream of [child.stdout, child.stderr]) {
    stream.on('data', chunk => {
      output += String(chunk);
      for (const watcher of watchers) watcher();
    });
  }
  const exited = new Promise<number | string>(resolve => {
    child.once('close', (code, signal) => {
      runningChildren.delete(child);
      resolve(code ?? signal ?? 'unknown');
    });
  });
  return {
    pid: child.pid ?? 0,
    getOutput: () => output,
    waitForExit: () => exited,
    waitForOutput,
    sendSignal: signal => void child.kill(signal),
  };

  function waitForOutput(pattern: RegExp): Promise<void> {
    return new Promise((resolve, reject) => {
      const check = () => {
        if (!pattern.test(output)) return;
        watchers.delete(check);
        resolve();
      };
      watchers.add(check);
      check();
      void exited.then(code => {
        reject(new Error(`exited with ${code} before ${pattern}: ${output}`));
      });
    });
  }
}

/** Runs the program and waits until it exits. */
export async function runProgram(
  args: readonly string[],
  env: ProgramEnvironment = {},
): Promise<{readonly code: number | string; readonly output: string}> {
  const program = startProgram(args, env);
  const code = await program.waitForExit();
  return {code, output: program.getOutput()};
}

/** Kills all processes that are still running. */
export function killPrograms(): void {
  for (const child of runningChildren) child.kill('SIGKILL');
}

/** Range of the ports: below those that the operating system assigns to outgoing connections. */
const FIRST_PORT = 15_000;
const PORT_COUNT = 16_000;
/** Distance between the first ports that processes with consecutive ids try. */
const PORTS_PER_PROCESS = 97;

let triedPortCount = 0;

/** Returns different ports that are currently free on loopback, for TCP and for UDP. */
export async function listFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const offset = process.pid * PORTS_PER_PROCESS + triedPortCount++;
    const port = FIRST_PORT + (offset % PORT_COUNT);
    if ((await isTcpPortFree(port)) && (await isUdpPortFree(port))) {
      ports.push(port);
    }
  }
  return ports;
}

function isTcpPortFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

function isUdpPortFree(port: number): Promise<boolean> {
  return new Promise(resolve => {
    const socket = createSocket('udp4');
    socket.once('error', () => {
      socket.close();
      resolve(false);
    });
    socket.bind(port, '127.0.0.1', () => socket.close(() => resolve(true)));
  });
}
