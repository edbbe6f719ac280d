/**
 * Loads the gateway's program with the code cache that the build made, so that V8 need not
 * compile it at each start. Without a valid cache, the program runs uncached.
 */
'use strict';
const {createHash} = require('node:crypto');
const {readFileSync} = require('node:fs');
const {Script} = require('node:vm');

const DIGEST_BYTES = 32;
const programPath = `${__filename.slice(0, -'.cjs'.length)}.program.js`;
const program = readFileSync(programPath);
const {cachedData, problem} = readCache();
const script = new Script(program.latin1Slice(), {
  filename: programPath,
  cachedData,
});
const reason = script.cachedDataRejected
  ? 'it was made by another version of Node.js or with other flags'
  : problem;
if (reason !== undefined) {
  process.stderr.write(`code cache not used: ${reason}\n`);
}
script.runInThisContext()(exports, require, module, programPath, __dirname);

/** Checks what V8 does not: the architecture, and that the cache is whole and of this program. */
function readCache() {
  const path = `${programPath}.${process.version}-${process.arch}.cache`;
  try {
    const file = readFileSync(path);
    const cachedData = file.subarray(DIGEST_BYTES);
    const digest = createHash('sha256')
      .update(program)
      .update(cachedData)
      .digest();
    return digest.equals(file.subarray(0, DIGEST_BYTES))
      ? {cachedData}
      : {problem: 'it is damaged or belongs to another program'};
  } catch (error) {
    return {problem: error.message};
  }
}
