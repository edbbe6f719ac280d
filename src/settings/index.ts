export {loadSettings, parseSettings} from './load';
export type {SettingsFault} from './load';
export {settingsSchema} from './schema';
export type {Settings} from './schema';
