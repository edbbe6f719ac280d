/** Tests of unhandled errors. Each runs in a child process, because the test runner installs its own handlers. */
import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {promisify} from 'node:util';
import {test} from 'node:test';
import {watchUnhandledErrors} from '../../src/runtime';

const MODE_VARIABLE = 'ANVILSTACK_TEST_UNHANDLED';
const mode = process.env[MODE_VARIABLE];

if (mode === undefined) {
  for (const kind of ['exception', 'rejection']) {
    test(`an unhandled ${kind} reaches the handler and the process keeps running`, async () => {
      const file = fileURLToPath(import.meta.url);
      const env: NodeJS.ProcessEnv = {...process.env, [MODE_VARIABLE]: kind};
      delete env['NODE_TEST_CONTEXT'];
      const {stdout} = await promisify(execFile)(process.execPath, [file], {
        env,
      });
      assert.equal(stdout, `${kind} handled\nstill here\n`);
    });
  }
} else {
  watchUnhandledErrors(error => console.log(`${error.message} handled`));
  setTimeout(() => console.log('still here'), 50);
  if (mode === 'rejection') void Promise.reject(new Error(mode));
  else {
    setImmediate(() => {
      throw new Error(mode);
    });
  }
}
