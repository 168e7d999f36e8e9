export { createManualTimer, type ManualTimer } from './manualTimer.js';
export {
  createTimerService,
  type MonotonicClock,
  type TimerService,
  type Unsubscribe,
} from './timerService.js';
export { createElapsedClock, type ElapsedClock } from './elapsedClock.js';
