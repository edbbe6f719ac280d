/** Number of nodes that receive the demand of all nodes, the ones with the lowest names: the first ones to send orders. Several, because more than one may be unavailable. */
export const PLANNER_COUNT = 5;
