export {assertInvariant, assertNever} from './assert';
export {createSystemClock} from './system_clock';
export {createVirtualClock} from './virtual_clock';
export type {VirtualClockOptions} from './virtual_clock';
export type {Clock, Timer, VirtualClock} from './types';
export {openListener} from './listener';
export type {Listener, ListenerOptions} from './listener';
