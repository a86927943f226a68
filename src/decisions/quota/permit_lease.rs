//! The duration of a permit's lease, which the owner of a quota and the gateways that use it agree on.
//!
//! The owner of a quota takes back a permit that is neither released nor renewed within a lease: the message
//! that released it was lost. The gateway that holds the permit renews it meanwhile, since slow requests are
//! the ones that would pass a concurrency limit unnoticed.

use crate::decisions::context::EventContext;
use crate::decisions::gossip::QuotaRequestId;
use crate::units::{Milliseconds, Timestamp};

/// The duration of a lease, in mean latencies.
const LEASE_LATENCIES: f64 = 6.0;
/// Added to the mean latency, for the delay of a message between gateways.
const LATENCY_MARGIN: Milliseconds = Milliseconds(20.0);
/// How often the holder of a permit renews it within a lease, so that one lost message does not end the
/// lease.
const RENEWALS_PER_LEASE: f64 = 3.0;

/// How long a permit is leased without a renewal.
pub(super) fn permit_lease(mean_latency: Milliseconds) -> Milliseconds {
    (mean_latency + LATENCY_MARGIN) * LEASE_LATENCIES
}

/// Sets the timer for the next renewal of a permit that this gateway holds. Returns when that is.
pub(crate) fn schedule_renewal(permit: QuotaRequestId, context: &mut EventContext) -> Timestamp {
    let interval = permit_lease(context.mean_latency) / RENEWALS_PER_LEASE;
    context.set_request_timer(permit, interval);
    context.now + interval
}
