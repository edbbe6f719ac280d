import {registerSoakTests} from './register_soak_tests';
import {HOSTILE_SEEDS} from './seeds';

registerSoakTests({
  isHostile: true,
  seeds: HOSTILE_SEEDS,
  furtherSeeds: process.env['ANVILSTACK_SOAK_HOSTILE_SEEDS'],
  program: 'target/hostile_soak.cjs',
});
