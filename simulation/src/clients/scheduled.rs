//! Clients that follow a fixed schedule of requests.

use super::{Arrival, ArrivalSource, ClientDeadline, ClientRequest, Clients};
use marlshelf::{Milliseconds, Timestamp};
use rand_pcg::Pcg64Mcg;

/// A request and its arrival time.
#[derive(Clone, Debug)]
pub struct ScheduledRequest {
    /// Time at which the gateway receives the request.
    pub at: Timestamp,
    /// The request to send, including its gateway.
    pub request: ClientRequest,
}

/// Clients that follow a fixed schedule, use one timeout for all requests, and neither disconnect nor retry.
#[derive(Clone, Debug)]
pub struct ScheduledClients {
    requests: Vec<ScheduledRequest>,
    timeout: Milliseconds,
}

impl ScheduledClients {
    /// Creates clients that send `requests`, each with a deadline of `timeout` after its arrival.
    #[must_use]
    pub fn new(requests: Vec<ScheduledRequest>, timeout: Milliseconds) -> ScheduledClients {
        ScheduledClients { requests, timeout }
    }
}

impl Clients for ScheduledClients {
    /// Treats each request as a separate arrival source.
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
