/** esbuild plugin for importing a file as text: `import text from 'package/file.js?text'`. */
import {readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {resolve} from 'node:path';

const require = createRequire(import.meta.url);

export const textImports = {
  name: 'text-imports',
  setup(pluginBuild) {
    pluginBuild.onResolve({filter: /\?text$/}, args => {
      const name = args.path.slice(0, -'?text'.length);
      const path = name.startsWith('.')
        ? resolve(args.resolveDir, name)
        : require.resolve(name);
      return {path, namespace: 'text'};
    });
    pluginBuild.onLoad({filter: /.*/, namespace: 'text'}, args => ({
      contents: readFileSync(args.path, 'utf8'),
      loader: 'text',
    }));
  },
};
