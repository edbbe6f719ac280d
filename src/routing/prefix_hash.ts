/** Chained hashes of a prompt's leading blocks: each covers its block and all blocks before it. */
import createXxhash from 'xxhash-wasm';

/** Hashes of a prompt's leading blocks. */
export interface PrefixHashes {
  readonly hashes: readonly string[];
  /** Prompt tokens that they cover, estimated from the number of characters. */
  readonly tokens: number;
}

/** Hashes prompts. */
export interface PrefixHasher {
  /** Hashes a prompt's complete blocks. Equal texts of different scopes (models) hash differently. */
  compute(scope: string, prompt: string): PrefixHashes;
}

/** Options of a hasher. */
export interface PrefixHasherOptions {
  /** Characters in a block. */
  readonly blockCharacters?: number;
  /** Most blocks hashed. */
  readonly maxBlocks?: number;
  readonly charactersPerToken?: number;
}

const DEFAULTS = {blockCharacters: 512, maxBlocks: 64, charactersPerToken: 4};

/** Loads the hash function and creates a hasher. */
export async function createPrefixHasher(
  options: PrefixHasherOptions = {},
): Promise<PrefixHasher> {
  const {blockCharacters, maxBlocks, charactersPerToken} = {
    ...DEFAULTS,
    ...options,
  };
  const {h64ToString, h64} = await createXxhash();
  return {compute};

  function compute(scope: string, prompt: string): PrefixHashes {
    const blocks = Math.min(
      maxBlocks,
      Math.floor(prompt.length / blockCharacters),
    );
    const hashes: string[] = [];
    let seed = h64(scope);
    for (let block = 0; block < blocks; block++) {
      const start = block * blockCharacters;
      const text = prompt.slice(start, start + blockCharacters);
      hashes.push(h64ToString(text, seed));
      seed = h64(text, seed);
    }
    const tokens = Math.floor((blocks * blockCharacters) / charactersPerToken);
    return {hashes, tokens};
  }
}
