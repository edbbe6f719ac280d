/** Writes the documents that are generated from the sources. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {build} from 'esbuild';

const MODULE = 'build/docs_pages.mjs';

await build({
  stdin: {
    contents: `
      export {messages, renderMessagesPage} from './src/diagnostics';
      export {renderSettingsReference} from './src/settings';
    `,
    resolveDir: '.',
  },
  outfile: MODULE,
  bundle: true,
  platform: 'node',
  format: 'esm',
  mainFields: ['module', 'main'],
  packages: 'external',
  alias: {'ts-results': './node_modules/ts-results/esm/index.js'},
  logLevel: 'warning',
});
const pages = await import(`../${MODULE}`);
mkdirSync('docs/operators', {recursive: true});
writeFileSync(
  'docs/operators/settings_reference.md',
  pages.renderSettingsReference(),
);
writeFileSync(
  'docs/operators/messages.md',
  pages.renderMessagesPage(Object.values(pages.messages)),
);
