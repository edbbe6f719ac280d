/** Builds target/anvilstack.cjs: the gateway alone, in one small file that starts quickly. */
import {build} from 'esbuild';

await build({
  entryPoints: ['src/gateway_main.ts'],
  outfile: 'target/anvilstack.cjs',
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  mainFields: ['module', 'main'],
  minifyWhitespace: true,
  minifySyntax: true,
  logLevel: 'warning',
});
