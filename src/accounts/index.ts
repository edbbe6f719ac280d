export {getKeyDigest, tryGetBearerToken} from './key_digest';
export type {ClientAccount} from './types';
