export { createGateway, type Gateway, type GatewayOptions } from './gateway.js';
export { readSubmission, type HomeResolver } from './readSubmission.js';
