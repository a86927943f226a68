//! The duration of a permit's lease, which the owner of a quota and the gateways that use it agree on.
//!
//! The owner of a quota takes back a permit that is neither released nor renewed within a lease: the message that
//! released it was lost. The gateway that holds the permit renews it meanwhile, since slow requests are the ones that
//! would pass a concurrency limit unnoticed.

use crate::units::Milliseconds;

/// The duration of a lease, in mean latencies.
const LEASE_LATENCIES: f64 = 6.0;
/// Added to the mean latency, for the way of a message between gateways.
const LATENCY_MARGIN: Milliseconds = Milliseconds(20.0);
/// How often the holder of a permit renews it within a lease, so that one lost message does not end the lease.
const RENEWALS_PER_LEASE: f64 = 3.0;

/// How long a permit is leased without a renewal.
pub(super) fn permit_lease(mean_latency: Milliseconds) -> Milliseconds {
    (mean_latency + LATENCY_MARGIN) * LEASE_LATENCIES
}

/// The time between two renewals of a permit.
pub(crate) fn renewal_interval(mean_latency: Milliseconds) -> Milliseconds {
    permit_lease(mean_latency) / RENEWALS_PER_LEASE
}
