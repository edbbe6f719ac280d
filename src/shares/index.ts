export {createStartTags, type StartTags} from './start_tags';
