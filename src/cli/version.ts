/** Version and build of this program. */

declare const ANVILSTACK_VERSION: string | undefined;
declare const ANVILSTACK_COMMIT: string | undefined;

/** Returns the version and the commit that the binary was built from. */
export function getVersionText(): string {
  const version =
    typeof ANVILSTACK_VERSION === 'string' ? ANVILSTACK_VERSION : 'development';
  const commit =
    typeof ANVILSTACK_COMMIT === 'string' ? ANVILSTACK_COMMIT : 'unbuilt';
  return `${version} (${commit}, Node.js ${process.versions.node})`;
}
