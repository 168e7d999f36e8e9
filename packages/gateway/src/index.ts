export { createGateway, type Gateway, type GatewayOptions } from './gateway.js';
export { readSubmission, type HomeFinder } from './readSubmission.js';
