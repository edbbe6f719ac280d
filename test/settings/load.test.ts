/** Tests of settings files: all errors are reported at once with their locations, and secrets stay out of output. */
import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import {inspect} from 'node:util';
import {test} from 'node:test';
import fc from 'fast-check';
import {stringify} from 'smol-toml';
import {formatMessage} from '../../src/diagnostics';
import {
  createSettings,
  loadAnySettings,
  loadSecrets,
  parseSettings,
  type SettingsInput,
} from '../../src/settings';
import {loadTemplate} from '../../src/cli/template_file';
import {collectKeyPositions} from '../../src/settings/toml_positions';

const INPUT: SettingsInput = {
  deployment: 'test',
  node: {id: 'node-1', region: 'r', failure_domain: 'f'},
  listen: {
    callers: '127.0.0.1:1',
    operators: '127.0.0.1:2',
    peers: '127.0.0.1:3',
  },
  platform: {
    log_address: 'http://127.0.0.1:4',
    vm_list_address: 'http://127.0.0.1:5',
    weight_store_address: 'http://127.0.0.1:6',
  },
};

function listErrors(text: string): string[] {
  const parsed = parseSettings('node.toml', text);
  return parsed.ok ? [] : parsed.val.map(formatMessage);
}

test('all errors of a file are reported at once, in the order of the file', () => {
  const text = readFileSync('test/settings/five_mistakes.toml', 'utf8');
  assert.deepEqual(listErrors(text), [
    "node.toml:6:1 - error AS1101: unknown key 'node.failure_domian'; did you mean 'failure_domain'?",
    "node.toml:10:1 - error AS1106: key 'listen.operators': expected HOST:PORT, such as 127.0.0.1:8101",
    "node.toml:18:1 - error AS1103: key 'platform.log_retention_s': expected a number, found a text in quotes",
    'node.toml:24:1 - error AS1105: key \'logging.level\': expected one of "error", "warn", "info", "debug"; did you mean "warn"?',
    "node.toml:27:1 - error AS1104: key 'planning.safe_capacity': expected at most 1",
  ]);
});

test('a misspelt key does not hide an error of the key that it resembles', () => {
  const text = stringify({
    ...INPUT,
    node: {...INPUT.node, regoin: 'r', region: 1},
  });
  const codes = listErrors(text).map(line => /AS\d+/.exec(line)?.[0]);
  assert.deepEqual(codes.sort(), ['AS1101', 'AS1103']);
});

test('a syntax error is reported with its location', () => {
  const errors = listErrors('deployment = "x"\n[node\nid = 1\n');
  assert.equal(errors.length, 1);
  assert.match(errors[0], /^node\.toml:2:\d+ - error AS1002: TOML syntax: /);
});

test('cross-key errors are reported together with schema errors', () => {
  const text = `${stringify({
    ...INPUT,
    listen: {...INPUT.listen, operators: '127.0.0.1:1', peers: '10.0.0.1:3'},
    secrets: {resume_secret_file: 'a', resume_secret_env: 'B'},
    logging: {level: 'loud'},
  })}`;
  const codes = listErrors(text).map(line => /AS\d+/.exec(line)?.[0]);
  assert.deepEqual(codes.sort(), ['AS1105', 'AS1202', 'AS1204', 'AS1206']);
});

test('key positions match the text for any nesting', () => {
  const key = fc.stringMatching(/^[a-z][a-z0-9_]{0,6}$/);
  const leaf = fc.oneof(
    fc.integer({min: -9, max: 9}),
    fc.string(),
    fc.array(fc.string(), {maxLength: 3}),
  );
  const table = fc.dictionary(key, leaf, {maxKeys: 3});
  const tables = fc.array(table, {minLength: 1, maxLength: 3});
  const file = fc.dictionary(key, fc.oneof(leaf, table, tables), {maxKeys: 4});
  fc.assert(
    fc.property(file, value => {
      const text = stringify(value);
      const lines = text.split('\n');
      for (const [path, {line, column}] of collectKeyPositions(text)) {
        const name =
          path.split('.').findLast(part => !/^\d+$/.test(part)) ?? '';
        const rest = lines[line - 1].slice(column - 1);
        assert.match(rest, new RegExp(`^(\\[.*)?${name}\\b`), path);
      }
      for (const [name, child] of Object.entries(value)) {
        if (typeof child !== 'object' || Array.isArray(child)) continue;
        for (const inner of Object.keys(child)) {
          assert.ok(collectKeyPositions(text).has(`${name}.${inner}`));
        }
      }
    }),
    {seed: 6, numRuns: 200},
  );
});

test('a secret is read from a file or the environment and never printed', () => {
  const settings = createSettings({
    ...INPUT,
    secrets: {peer_secret_env: 'PEER', resume_secret_file: 'resume.key'},
  });
  const loaded = loadSecrets(settings, {
    environment: {PEER: 'hidden-1'},
    readFile: () => 'hidden-2\n',
  }).unwrap();
  assert.equal(loaded.peerSecret?.getText(), 'hidden-1');
  assert.equal(loaded.resumeSecret?.getText(), 'hidden-2');
  const shown = `${inspect(loaded, {depth: 9})}${JSON.stringify(loaded)}${String(loaded.peerSecret)}`;
  assert.doesNotMatch(shown, /hidden/);
});

test('the error for an unreadable secret names the secret and its source', () => {
  const settings = createSettings({
    ...INPUT,
    secrets: {peer_secret_env: 'PEER'},
  });
  const loaded = loadSecrets(settings, {environment: {}});
  assert.ok(loaded.err);
  assert.match(formatMessage(loaded.val[0]), /AS1205.*peer_secret.*PEER/);
});

for (const deployment of ['tatranska', 'boeiboord']) {
  const directory = `examples/${deployment}`;
  test(`the example files of ${deployment} have no errors`, () => {
    const files = readdirSync(directory).filter(name => name.endsWith('.toml'));
    assert.equal(files.length, 4);
    for (const name of files) {
      const loaded = loadAnySettings(`${directory}/${name}`);
      const errors = loaded.ok ? [] : loaded.val.map(formatMessage);
      assert.deepEqual(errors, []);
    }
    for (const name of readdirSync(`${directory}/templates`)) {
      const file = `${directory}/templates/${name}`;
      const loaded = loadTemplate(file);
      const found = loaded.ok ? loaded.val.warnings : loaded.val;
      assert.deepEqual(found.map(formatMessage), []);
    }
  });
}

test('the example fleets have the expected number of engines, services and failure domains', () => {
  const counts = ['tatranska', 'boeiboord'].map(deployment => {
    const loaded = loadAnySettings(`examples/${deployment}/standins.toml`);
    assert.ok(loaded.ok && loaded.val.kind === 'standins');
    const {engine, service} = loaded.val.settings.standins;
    const domains = new Set(engine.map(item => item.failure_domain));
    return [engine.length, service.length, domains.size];
  });
  assert.deepEqual(counts, [
    [13, 4, 4],
    [13, 3, 3],
  ]);
});
