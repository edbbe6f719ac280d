/** Entry of the gateway's own bundle, which loads no more than a gateway needs. */
import {runGatewayProcess} from './gateway_process';

void runGatewayProcess().then(code => {
  process.exit(code);
});
