export { createDaemon, type Daemon, type DaemonOptions } from './daemon.js';
export { main } from './main.js';
export { readSettings, SettingsError, type Settings } from './settings.js';
