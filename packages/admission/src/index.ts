export {
  createAdmission,
  RefusalReasons,
  type Admission,
  type AdmissionRequest,
  type Refusal,
  type RefusalReason,
} from './admission.js';
export { createRateLimit, type RateLimit } from './rateLimit.js';
