//! Fleet-wide accounting with which tests check a run.
//!
//! The quota ledgers compare the forwarded requests with the exact fleet-wide quotas, hard limits and
//! concurrency limits. The overload rule compares the work that an endpoint receives during its warm-up with
//! its capacity.

mod overload;
mod quota;

pub use overload::{OverloadRule, ReceivedWork};
pub use quota::{ForwardedValue, QuotaAudit, QuotaLedger, settlement};
