//! Ledgers that check the rules: what a fleet forwards against the true state of quotas, hard limits and concurrency
//! limits, and the work that endpoints receive while they warm up against what they tolerate.

mod overload;
mod quota;

pub use overload::{OverloadRule, ReceivedWork};
pub use quota::{ForwardedValue, QuotaAudit, QuotaLedger, settlement};
