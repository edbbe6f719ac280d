/** Transpiles the sources, tests and benchmarks to build/js with esbuild. */
import {existsSync, readdirSync, rmSync} from 'node:fs';
import {join} from 'node:path';
import {build} from 'esbuild';
import {textImports} from './text_imports.mjs';

// ts-results is bundled: Node.js cannot import its ES module by name.
const BUNDLED_PACKAGES = ['ts-results'];

const keepPackagesExternal = {
  name: 'keep-packages-external',
  setup(pluginBuild) {
    pluginBuild.onResolve({filter: /^[^./]/}, args => {
      if (args.kind === 'entry-point') return undefined;
      if (args.path.endsWith('?text')) return undefined;
      if (BUNDLED_PACKAGES.includes(args.path)) return undefined;
      return {path: args.path, external: true};
    });
  },
};

function collectFiles(directory, suffix) {
  if (!existsSync(directory)) return [];
  return readdirSync(directory, {recursive: true})
    .filter(name => name.endsWith(suffix))
    .map(name => join(directory, name));
}

rmSync('build/js', {recursive: true, force: true});
await build({
  entryPoints: [
    'src/main.ts',
    ...collectFiles('test', '.test.ts'),
    ...collectFiles('bench', '.bench.ts'),
  ],
  outbase: '.',
  outdir: 'build/js',
  bundle: true,
  splitting: true,
  format: 'esm',
  platform: 'node',
  target: 'node20',
  mainFields: ['module', 'main'],
  sourcemap: 'linked',
  logLevel: 'warning',
  plugins: [textImports, keepPackagesExternal],
});
