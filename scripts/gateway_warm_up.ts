/**
 * Runs the gateway's program against stand-ins and writes V8's code cache of it after a digest of both; the cache holds
 * the functions that a start and the first requests compile. The build runs this with the
 * flags of the deployment, because V8 rejects a cache that was made with others.
 * Arguments: the program, the file of the cache and a file for settings.
 */
import {createHash} from 'node:crypto';
import {readFileSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {Script} from 'node:vm';
import {startServerStandin} from '../test/platform/server_standin';
import {startStoreStandin} from '../test/platform/store_standin';
import {
  buildConfig,
  buildSettings,
  sendAsCaller,
  waitUntil,
} from '../test/platform/system';
import {listFreePorts} from '../test/support/program';

/** Rounds of requests: V8 discards none of their code within this time. */
const ROUNDS = 20;
const PROMPT = {tokens: '3000,10', parts: 'aa:2000,bb:1000'};
const [programPath, cachePath, settingsPath] = process.argv.slice(2);

async function runWarmUp(): Promise<void> {
  const store = await startStoreStandin();
  store.put('keyed.op', 'config', buildConfig(1));
  const servers = [
    {id: 'app-1', service: 'app'},
    {id: 'p1', service: 'llm', stage: 'prefill' as const},
    {id: 'd1', service: 'llm', stage: 'decode' as const},
  ];
  for (const server of servers) {
    await startServerStandin({...server, zone: 'a', store});
  }
  const ports = await listFreePorts(4);
  writeFileSync(settingsPath, buildSettings('warm-up', ports, store.port, []));
  process.env['ANVILSTACK_NODE_FILE'] = settingsPath;
  const script = new Script(readFileSync(programPath, 'latin1'), {
    filename: programPath,
  });
  const program = {exports: {}};
  script.runInThisContext()(
    program.exports,
    createRequire(programPath),
    program,
    programPath,
    '.',
  );
  await waitUntil('the gateway serves', async () => {
    const answer = await sendAsCaller(ports[0], {
      path: '/resume/x',
      ...PROMPT,
    }).catch(() => undefined);
    return answer?.status === 200;
  });
  for (let round = 0; round < ROUNDS; round++) {
    for (const path of ['/look/x', '/order/x']) {
      await sendAsCaller(ports[0], {path});
    }
    await sendAsCaller(ports[0], {path: '/resume/x', ...PROMPT});
  }
  const cache = script.createCachedData();
  const digest = createHash('sha256')
    .update(readFileSync(programPath))
    .update(cache)
    .digest();
  writeFileSync(cachePath, Buffer.concat([digest, cache]));
}

void runWarmUp().then(
  () => process.exit(0),
  error => {
    process.stderr.write(`${String(error)}\n`);
    process.exit(1);
  },
);
