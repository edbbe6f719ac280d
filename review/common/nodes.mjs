/** Starts the project's program as separate processes, with the command of the deploy file and settings of a small deployment. */
import {spawn} from 'node:child_process';
import {createSocket} from 'node:dgram';
import {
  existsSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

const FIRST_PORT = 15_000;
const PORT_COUNT = 16_000;
const PORTS_PER_PROCESS = 97;
const RESTART_DELAY_MS = 200;

/** A case that cannot run, as opposed to one that found a fault. */
export class CannotRunError extends Error {}

let triedPorts = 0;

/** Returns loopback ports that are free for TCP and UDP. */
export async function listFreePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const offset = process.pid * PORTS_PER_PROCESS + triedPorts++;
    const port = FIRST_PORT + (offset % PORT_COUNT);
    if ((await isTcpFree(port)) && (await isUdpFree(port))) ports.push(port);
  }
  return ports;
}

function isTcpFree(port) {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}

function isUdpFree(port) {
  return new Promise(resolve => {
    const socket = createSocket('udp4');
    socket.once('error', () => {
      socket.close();
      resolve(false);
    });
    socket.bind(port, '127.0.0.1', () => socket.close(() => resolve(true)));
  });
}

/** Reads the command of the gateway's role from the deploy file. */
function readCommand() {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const match = /\[roles\.gateway\][^[]*?^run = "([^"]+)"/ms.exec(text);
  if (match === null) throw new CannotRunError('no run command found');
  const [program, ...args] = match[1].split(' ');
  const file = args.find(arg => arg.startsWith('target/'));
  if (file !== undefined && !existsSync(file)) {
    throw new CannotRunError(`${file} is not built`);
  }
  return {program, args};
}

/** Memory of a gateway, in megabytes; the platform kills a process that exceeds it. */
export const MEMORY_MB = 272;

/** Starts `count` gateways; `zones` are given to them in turn. */
export async function startNodes({count, storePort, zones = ['a']}) {
  const command = readCommand();
  const folder = mkdtempSync(join(tmpdir(), 'anvilstack-review-'));
  const nodes = [];
  const seeds = [];
  for (let index = 0; index < count; index++) {
    const [front, ready, control, peer, peerEnd] = await listFreePorts(5);
    seeds.push(`127.0.0.1:${control}`);
    nodes.push(
      createNode({
        command,
        name: `front-${index + 1}`,
        zone: zones[index % zones.length],
        ports: {front, ready, control, peer, peerEnd},
        path: join(folder, `front-${index + 1}.toml`),
      }),
    );
  }
  for (const node of nodes) {
    writeFileSync(node.path, buildSettings(node, storePort, seeds));
    node.start();
  }
  process.once('exit', () => {
    for (const node of nodes) node.signal('SIGKILL');
    rmSync(folder, {recursive: true, force: true});
  });
  return nodes;
}

function createNode({command, name, zone, ports, path}) {
  let child;
  let isWanted = true;
  const lines = [];
  const node = {
    name,
    zone,
    ports,
    path,
    lines,
    start: () => {
      isWanted = true;
      const started = spawn(command.program, command.args, {
        env: {PATH: process.env.PATH, ANVILSTACK_NODE_FILE: path},
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      child = started;
      for (const stream of [started.stdout, started.stderr]) {
        stream.on('data', chunk => lines.push(String(chunk)));
      }
      started.once('exit', () => {
        if (child === started && isWanted) {
          setTimeout(() => isWanted && node.start(), RESTART_DELAY_MS);
        }
      });
    },
    signal: name => {
      if (name === 'SIGKILL' || name === 'SIGTERM') isWanted = false;
      child?.kill(name);
    },
    /** Resolves when the process has exited. */
    waitForExit: () =>
      new Promise(resolve => {
        const exiting = child;
        if (exiting.exitCode !== null || exiting.signalCode !== null) resolve();
        else exiting.once('exit', () => resolve());
      }),
    /** Returns the resident memory of the process, in megabytes; 0 when it is not running. */
    readMemoryMb: () => readMemoryMb(child?.pid),
    /** Kills the process, which is then started again, as the platform does with one that exceeds its memory. */
    killAndRestart: () => child?.kill('SIGKILL'),
  };
  return node;
}

function buildSettings({name, zone, ports}, storePort, seeds) {
  return `nodeName = "${name}"
role = "gateway"
machineClass = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = "${zone}"
region = "west"
portRange = [${ports.peer},${ports.peerEnd}]
seeds = ${JSON.stringify(seeds.slice(0, 3))}
bootstrap = true
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
[zones]
a = "west"
b = "west"
[listen]
front = "127.0.0.1:${ports.front}"
ready = "127.0.0.1:${ports.ready}"
control = "127.0.0.1:${ports.control}"
[limits]
cpuShare = 0.459
cores = 1
memoryMb = ${MEMORY_MB}
maxFds = 2069
linkMbps = 490.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stabilityWindowMs = 3000
ackMs = 4000
syncS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
downgradeSlackMs = 250
skewMaxMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 108
recoverS = 12
transitMs = 120
againS = 9
requireFencing = true
leaseMs = 3000
thawMs = 300
[platform]
address = "127.0.0.1:${storePort}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 8
appendMs = 4.0
partMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
`;
}

function readMemoryMb(pid) {
  try {
    const text = readFileSync(`/proc/${pid}/status`, 'utf8');
    return Number(/VmRSS:\s+(\d+) kB/.exec(text)?.[1] ?? 0) / 1_024;
  } catch {
    // The process has ended.
    return 0;
  }
}

/** Resolves once all nodes report that they are ready. */
export async function waitUntilReady(nodes, limitMs = 10_000) {
  const endsAt = performance.now() + limitMs;
  for (const node of nodes) {
    while (!(await isReady(node.ports.ready))) {
      if (performance.now() > endsAt) {
        throw new CannotRunError(`${node.name} is not ready`);
      }
      await sleep(50);
    }
  }
}

function isReady(port) {
  return new Promise(resolve => {
    get({host: '127.0.0.1', port, path: '/readyz', agent: false}, response => {
      response.resume();
      resolve(response.statusCode === 200);
    }).on('error', () => resolve(false));
  });
}

export function sleep(ms) {
  return new Promise(resolve => setTimeout(resolve, ms));
}
