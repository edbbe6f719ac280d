/** Starts gateways with the command of the deploy file, and keeps the record of a case. */
import {spawn} from 'node:child_process';
import {appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import net from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
/** Ports of a gateway, the same on each of its addresses. */
const PORT_NAMES = ['front', 'ready', 'control', 'peer'];

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Opens the record of a case; each line has the time since the start, in seconds. */
export function openRecord(folder) {
  const path = join(folder, 'record.txt');
  const startedAt = performance.now();
  writeFileSync(path, '');
  return line => appendFileSync(path, `${((performance.now() - startedAt) / 1000).toFixed(3)} ${line}\n`);
}

/** Returns a free port of an address. */
export function findPort(host) {
  return new Promise((resolve, reject) => {
    const server = net.createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const {port} = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** The bounds of the settings of boeiboord-quote. */
export const BOUNDS = {
  seedLagS: 3, reuseAfterS: 2, stabilityWindowMs: 3000, ackMs: 4000, syncS: 4, drainMs: 2000, graceS: 8,
  lossSlackMs: 200, configApplyMs: 2000, downgradeSlackMs: 250, skewMaxMs: 5000, budgetRatio: 0.2,
  budgetWindowS: 10, budgetSlack: 104, recoverS: 12, transitMs: 120, againS: 9, requireFencing: true,
  leaseMs: 3000, thawMs: 300,
};

/** Starts gateways `name -> {host, zone}`; `platform` is the store's address. */
export async function startGateways({nodes, platform, bounds = BOUNDS, record, extra = ''}) {
  const folder = mkdtempSync(join(tmpdir(), 'anvilstack-case-'));
  const command = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8').match(/^run = "(.*)"$/m)[1].split(' ');
  const ports = {};
  for (const name of PORT_NAMES) ports[name] = await findPort(nodes[0].host);
  const zones = [...new Set(nodes.map(node => node.zone))];
  const gateways = nodes.map(node => {
    const path = join(folder, `${node.name}.toml`);
    const gateway = {...node, ports, start, log: [], child: undefined};
    start(true);
    return gateway;

    function start(isFirst = false) {
      writeFileSync(path, createSettings(node, isFirst));
      const child = spawn(command[0], command.slice(1), {
        cwd: ROOT,
        env: {PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? 'C', ANVILSTACK_NODE_FILE: path},
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      gateway.child = child;
      const keep = chunk => gateway.log.push(chunk.toString());
      child.stdout.on('data', keep);
      child.stderr.on('data', keep);
      child.on('exit', (code, signal) => record(`gateway ${node.name} ended: ${code ?? signal}`));
    }
  });
  return {gateways, ports, waitReady, stop};

  function createSettings(node, isFirst) {
    const address = port => `"${node.host}:${port}"`;
    return [
      `nodeName = "${node.name}"`, 'role = "gateway"', 'machineClass = "front"', 'serves = ["front","control"]',
      `ip = "${node.host}"`, `zone = "${node.zone}"`, 'region = "vlaanderen"', `portRange = [${ports.peer},${ports.peer}]`,
      `seeds = [${nodes.slice(0, 3).map(seed => `"${seed.host}:${ports.control}"`).join(',')}]`,
      `bootstrap = ${isFirst}`, 'countsAsLoss = false', 'discovery = "platform"', 'entry = "vip"', 'heartbeatMs = 1200',
      'contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]',
      '[zones]', ...zones.map(zone => `${zone} = "vlaanderen"`),
      '[listen]', `front = ${address(ports.front)}`, `ready = ${address(ports.ready)}`, `control = ${address(ports.control)}`,
      '[limits]', 'cpuShare = 0.459', 'cores = 1', 'memoryMb = 272', 'maxFds = 2069', 'linkMbps = 490.0', 'diskMb = 0',
      '[faultTolerance]', 'machines = 2', 'zones = 0', 'regions = 0',
      '[bounds]', ...Object.entries(bounds).map(([name, value]) => `${name} = ${value}`),
      '[platform]', `address = "${platform}"`, 'form = "log"', 'writesPerS = 400', 'readsPerS = 2000', 'parts = 8',
      'appendMs = 4.0', 'partMbS = 20.0', 'readMbS = 80.0', 'recordBytes = 262144', 'callBytes = 2097152', 'keep_s = 300',
      'partMb = 200', 'ttlMinMs = 1000', extra, '',
    ].join('\n');
  }

  async function waitReady(timeoutMs = 15_000) {
    const endMs = performance.now() + timeoutMs;
    while (performance.now() < endMs) {
      const states = await Promise.all(gateways.map(isReady));
      if (states.every(Boolean)) return true;
      await sleep(100);
    }
    return false;
  }

  async function isReady({host}) {
    try {
      const answer = await fetch(`http://${host}:${ports.ready}/readyz`);
      await answer.arrayBuffer();
      return answer.status === 200;
    } catch {
      return false;
    }
  }

  async function stop() {
    for (const {child} of gateways) if (child.exitCode === null) child.kill('SIGKILL');
    await sleep(100);
    rmSync(folder, {recursive: true, force: true});
  }
}
