import {registerSoakTests} from './register_soak_tests';
import {SEEDS} from './seeds';

registerSoakTests({
  isHostile: false,
  seeds: SEEDS,
  furtherSeeds: process.env['ANVILSTACK_SOAK_SEEDS'],
  program: 'target/anvilstack.cjs',
});
