/** Writes the documents that are generated from the sources. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {build} from 'esbuild';
import {textImports} from './text_imports.mjs';

const MODULE = 'build/docs_pages.cjs';

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
  format: 'cjs',
  mainFields: ['module', 'main'],
  plugins: [textImports],
  logLevel: 'warning',
});
const pages = createRequire(import.meta.url)(`../${MODULE}`);
mkdirSync('docs/operators', {recursive: true});
writeFileSync(
  'docs/operators/settings_reference.md',
  pages.renderSettingsReference(),
);
writeFileSync(
  'docs/operators/messages.md',
  pages.renderMessagesPage(Object.values(pages.messages)),
);
