/** Imports with the suffix `?text` give the text of a file, which is bundled into the program. */
declare module '*?text' {
  const content: string;
  // eslint-disable-next-line no-restricted-syntax -- esbuild exports the text as the default export.
  export default content;
}
