export {
  createOperateServer,
  type OperateServer,
  type OperateServerOptions,
} from './operateServer.js';
