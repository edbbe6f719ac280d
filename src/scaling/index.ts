export type {ScalingLimits, ServerOrder} from './types';
