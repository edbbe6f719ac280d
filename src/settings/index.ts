export {
  createSettings,
  loadAnySettings,
  loadSettings,
  loadStandinsSettings,
  parseSettings,
  readTextFile,
} from './load';
export type {AnySettings, SettingsError} from './load';
export {renderSettingsReference} from './reference';
export {settingsSchema} from './schema';
export type {Settings, SettingsInput} from './schema';
export {createSecret, loadSecrets} from './secrets';
export type {Secret, Secrets, SecretSources} from './secrets';
export {standinsSchema} from './standins_schema';
export type {StandinsSettings} from './standins_schema';
export {checkToml, createMessageAt, parseToml} from './toml_check';
export type {TomlDocument} from './toml_check';
