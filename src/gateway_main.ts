/** Entry point of the gateway-only bundle, which contains just the code that a gateway needs. */
import {runGatewayProcess} from './gateway_process';

void runGatewayProcess().then(code => {
  process.exit(code);
});
