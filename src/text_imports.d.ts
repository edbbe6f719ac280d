/** The text of a file, put into the program when it is built. */
declare module '*?text' {
  const content: string;
  // eslint-disable-next-line no-restricted-syntax -- the form that esbuild gives a text.
  export default content;
}
