/** Checks every command in the `sh` blocks of the pages, and runs those of the pages in EXECUTED_PAGES. */
import assert from 'node:assert/strict';
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {after, test} from 'node:test';
import {createCli} from '../../src/cli';
import type {ExampleFiles} from '../support/example_files';
import {startExampleFleet} from '../support/example_fleet';
import {killPrograms, runProgram} from '../support/program';

const PROGRAM = /^(?:build\/)?anvilstack /;
/** Pages whose commands are run in order, each page on a separate fleet. */
const EXECUTED_PAGES = [
  'README.md',
  'CONTRIBUTING.md',
  'docs/operators/install.md',
  'docs/operators/logs_metrics_timeline.md',
  'docs/operators/running.md',
];

const scripts = (
  JSON.parse(readFileSync('package.json', 'utf8')) as {
    scripts: Record<string, string>;
  }
).scripts;

after(killPrograms);

function listPages(): string[] {
  const names = readdirSync('docs', {recursive: true, encoding: 'utf8'});
  const pages = names
    .filter(name => name.endsWith('.md'))
    .map(name => join('docs', name));
  return ['README.md', 'CONTRIBUTING.md', ...pages];
}

/** Returns the commands of a page's `sh` blocks, in order. */
function listCommands(page: string): string[] {
  const blocks = readFileSync(page, 'utf8').matchAll(/```sh\n([\s\S]*?)```/g);
  return [...blocks]
    .flatMap(block => block[1].replaceAll('\\\n', ' ').split('\n'))
    .flatMap(line => line.split(' && '))
    .map(line => line.trim())
    .filter(line => line !== '' && !line.startsWith('#'));
}

function parseArguments(command: string): string[] {
  const text = command.replace(PROGRAM, '').replace(/ &$/, '');
  return text.split(/\s+/).map(item => item.replace(/^(['"])(.*)\1$/, '$2'));
}

/** Fails unless the command parses and the files and scripts that it names exist. */
function checkCommand(command: string): void {
  if (PROGRAM.test(command)) {
    const args = parseArguments(command);
    if (!['--version', '--help'].includes(args[0])) createCli().process(args);
    for (const file of args.filter(item => item.startsWith('examples/'))) {
      assert.ok(existsSync(file), `${file} of '${command}' is missing`);
    }
    return;
  }
  const script = /^npm run (?:-s |--silent )?(\S+)/.exec(command)?.[1];
  if (script !== undefined) {
    assert.ok(script in scripts, `package.json has no script '${script}'`);
    return;
  }
  const source = /^node .*build\/js\/(\S+)\.js/.exec(command)?.[1];
  if (source !== undefined) {
    assert.ok(existsSync(`${source}.ts`), `${source}.ts is missing`);
    return;
  }
  assert.match(command, /^(?:npm ci|npm test|\.ci\/run|export [A-Z_]+=\S+)$/);
}

for (const page of listPages()) {
  test(`the commands of ${page} are valid`, () => {
    for (const command of listCommands(page)) checkCommand(command);
  });
}

/** Replaces the paths and ports of the example by those of the running fleet. */
function mapExample(text: string, example: ExampleFiles): string {
  return text
    .replaceAll('examples/tatranska', example.directory)
    .replace(/http:\/\/127\.0\.0\.1:(\d+)/g, (_, port: string) =>
      example.getAddress(Number(port)),
    );
}

for (const page of EXECUTED_PAGES) {
  test(`the commands of ${page} succeed`, async () => {
    const commands = listCommands(page);
    const env: Record<string, string> = {};
    const needsFleet = commands.some(command => command.startsWith('export '));
    const example = needsFleet
      ? (await startExampleFleet('tatranska')).files
      : undefined;
    for (const command of commands) {
      const text =
        example === undefined ? command : mapExample(command, example);
      const variable = /^export ([A-Z_]+)=(\S+)$/.exec(text);
      if (variable !== null) env[variable[1]] = variable[2];
      // Commands in the background start the fleet, which is running already.
      if (!PROGRAM.test(text) || text.endsWith(' &')) continue;
      const run = await runProgram(parseArguments(text), env);
      assert.equal(run.code, 0, `${command}: ${run.output}`);
    }
    killPrograms();
  });
}

test('each index lists exactly the pages of its folder', () => {
  for (const folder of ['docs/operators', 'docs/design']) {
    const index = readFileSync(join(folder, 'README.md'), 'utf8');
    const named = [...index.matchAll(/^\| \[(\S+\.md)\]\(\1\)/gm)];
    const pages = readdirSync(folder).filter(name => name !== 'README.md');
    assert.deepEqual(named.map(match => match[1]).sort(), pages.sort());
  }
});
