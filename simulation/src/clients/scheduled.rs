//! Clients that send given requests at given times.

use super::{Arrival, ArrivalSource, ClientDeadline, ClientRequest, Clients};
use marlshelf::{Milliseconds, Timestamp};
use rand_pcg::Pcg64Mcg;

/// A request and the time at which its gateway receives it.
#[derive(Clone, Debug)]
pub struct ScheduledRequest {
    /// The time.
    pub at: Timestamp,
    /// The request.
    pub request: ClientRequest,
}

/// Clients that send given requests, all wait the same time, and neither disconnect nor retry.
#[derive(Clone, Debug)]
pub struct ScheduledClients {
    requests: Vec<ScheduledRequest>,
    timeout: Milliseconds,
}

impl ScheduledClients {
    /// Clients that send these requests and state a deadline after `timeout`.
    #[must_use]
    pub fn new(requests: Vec<ScheduledRequest>, timeout: Milliseconds) -> ScheduledClients {
        ScheduledClients { requests, timeout }
    }
}

impl Clients for ScheduledClients {
    /// Each request is a source of its own.
    fn first_arrivals(&mut self, _random: &mut Pcg64Mcg) -> Vec<Timestamp> {
        self.requests.iter().map(|request| request.at).collect()
    }

    fn arrive(
        &mut self,
        source: ArrivalSource,
        _now: Timestamp,
        _random: &mut Pcg64Mcg,
    ) -> Arrival {
        Arrival {
            request: Some(self.requests[source.0].request.clone()),
            next_at: None,
        }
    }

    fn client_deadline(
        &mut self,
        _request: &ClientRequest,
        now: Timestamp,
        _random: &mut Pcg64Mcg,
    ) -> ClientDeadline {
        ClientDeadline {
            deadline: now + self.timeout,
            disconnect_at: None,
        }
    }
}
