//! Duration of permit leases, computed the same way by owners and clients.
//!
//! The owner reclaims a permit that is neither released nor renewed within its lease, since the release
//! message is presumed lost. The gateway that holds the permit renews it while the request is in flight.
//! Without renewals, slow requests would lose their permits and exceed the concurrency limit unnoticed.

use crate::decisions::context::EventContext;
use crate::decisions::gossip::QuotaRequestId;
use crate::units::{Milliseconds, Timestamp};

/// Lease duration as a multiple of the mean latency plus [`GOSSIP_DELAY_MARGIN`].
const LEASE_LATENCY_MULTIPLE: f64 = 6.0;
/// Margin added to the mean latency for the delay of messages between gateways.
const GOSSIP_DELAY_MARGIN: Milliseconds = Milliseconds(20.0);
/// Number of renewals per lease duration, so that one lost message does not end the lease.
const RENEWALS_PER_LEASE: f64 = 3.0;

/// Returns how long a permit stays leased without a renewal.
pub(super) fn permit_lease(mean_latency: Milliseconds) -> Milliseconds {
    (mean_latency + GOSSIP_DELAY_MARGIN) * LEASE_LATENCY_MULTIPLE
}

/// Sets the timer for the next renewal of a permit held by this gateway. Returns the time of that renewal.
pub(crate) fn schedule_renewal(permit: QuotaRequestId, context: &mut EventContext) -> Timestamp {
    let interval = permit_lease(context.mean_latency) / RENEWALS_PER_LEASE;
    context.set_request_timer(permit, interval);
    context.now + interval
}
