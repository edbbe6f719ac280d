/** Reasons for which an engine gets no requests, as an explanation shows them. */

/** Why a request cannot be sent to an engine. */
export const Obstacle = {
  Tried: 'has been tried',
  NoReport: 'has not reported',
  Refused: 'has refused a request',
  Silent: 'has stopped reporting',
  Full: 'has no free capacity',
  Ejected: 'ejected after failures',
} as const;
export type Obstacle = (typeof Obstacle)[keyof typeof Obstacle];
