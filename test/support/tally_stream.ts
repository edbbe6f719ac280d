/**
 * A minimal stream definition for tests of the fold; its state lists the texts of the applied
 * entries in order.
 */
import type {StreamDefinition} from '../../src/state';

export interface TallyEntry {
  readonly kind: 'add';
  readonly text: string;
}

export interface TallyState {
  readonly texts: string[];
}

export const tallyStream: StreamDefinition<TallyState, TallyEntry> = {
  stream: 'tally',
  createState: () => ({texts: []}),
  tryParseEntry: value => {
    const entry = value as Partial<TallyEntry> | null;
    if (entry?.kind !== 'add' || typeof entry.text !== 'string') return;
    return {kind: 'add', text: entry.text};
  },
  applyEntry: (state, entry, context) => {
    state.texts.push(entry.text);
    return {
      kind: 'accepted',
      position: {offset: context.offset, index: context.index},
    };
  },
  exportState: state => ({texts: [...state.texts]}),
  tryRestoreState: data => ({texts: [...(data as TallyState).texts]}),
};
