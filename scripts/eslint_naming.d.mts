/** Types of the ESLint rules for names. */
export declare const namingPlugin: {readonly rules: Record<string, unknown>};
export declare function readVerbs(): Set<string>;
export declare function getFirstWord(name: string): string;
