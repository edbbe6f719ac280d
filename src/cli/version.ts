/** Version and commit of this program; the build defines the two constants. */

declare const ANVILSTACK_VERSION: string | undefined;
declare const ANVILSTACK_COMMIT: string | undefined;

/** Returns the version, the commit that the binary was built from, and the Node.js version. */
export function getVersionText(): string {
  const version =
    typeof ANVILSTACK_VERSION === 'string' ? ANVILSTACK_VERSION : 'development';
  const commit =
    typeof ANVILSTACK_COMMIT === 'string' ? ANVILSTACK_COMMIT : 'unbuilt';
  return `${version} (${commit}, Node.js ${process.versions.node})`;
}
