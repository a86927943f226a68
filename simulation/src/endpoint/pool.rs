//! The endpoints of a fleet, as a scenario describes them.

use super::ServiceModel;
use marlshelf::{Milliseconds, Timestamp};

/// The endpoints of a fleet.
#[derive(Clone, Debug)]
pub struct EndpointPool {
    /// The number of endpoints at the start.
    pub count: usize,
    /// How they are named.
    pub names: EndpointNames,
    /// Endpoint `k` runs in zone `k % zones`.
    pub zones: u32,
    /// Endpoint `k` runs in cell `k % cells`.
    pub cells: u32,
    /// Endpoint `k` is of hardware kind `k % hardware_kinds`; each kind is slower than the one before.
    pub hardware_kinds: u32,
    /// The weights that the endpoint list states.
    pub weights: EndpointWeights,
    /// How each endpoint of the first hardware kind serves requests.
    pub service: ServiceModel,
    /// What the endpoints report with their responses.
    pub reports: ResponseReports,
}

/// The names of endpoints. Gateways choose their subsets of the endpoints by the order of names.
#[derive(Clone, Copy, Debug)]
pub struct EndpointNames {
    /// The name of the endpoint with this index at the start.
    pub initial: fn(usize) -> String,
    /// The name of an added endpoint like the one with the first index, where its own index is the second.
    pub added: fn(usize, usize) -> String,
}

/// The weights that the endpoint list states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointWeights {
    /// All weights are 1.
    Equal,
    /// Weights from 1 to 2.
    Varied,
    /// Weights from 1 to 2 and others that are zero, negative, tiny or not a number.
    PartlyInvalid,
}

/// The time that passes before a gateway learns the end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct ResponseDelays {
    /// Until a connection fails.
    pub connect_failure: Milliseconds,
    /// Until an endpoint rejects a request because of overload.
    pub rejection: Milliseconds,
    /// Until an endpoint with [`Fault::Errors`](super::Fault::Errors) answers with an error.
    pub error: Milliseconds,
    /// Until an endpoint with [`Fault::Resets`](super::Fault::Resets) resets a connection.
    pub reset: Milliseconds,
    /// From any of these ends, or from the completion, to the gateway.
    pub network: Milliseconds,
    /// From the deadline of an attempt to the time at which the gateway notices that it has passed.
    pub timeout: Milliseconds,
}

/// What endpoints report with their responses.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseReports {
    /// The fraction of responses that carry a load report and the metered use of the tenant.
    pub load_report_ratio: f64,
    /// The fraction of successful responses that state a random actual cost. It applies to requests whose actual cost
    /// the client doesn't define.
    pub actual_cost_ratio: f64,
}

impl Default for EndpointNames {
    fn default() -> Self {
        EndpointNames {
            initial: |index| format!("endpoint-{index}"),
            added: |like, index| format!("endpoint-{like}-{index}"),
        }
    }
}

impl Default for ResponseDelays {
    fn default() -> Self {
        ResponseDelays {
            connect_failure: Milliseconds(1.0),
            rejection: Milliseconds(1.0),
            error: Milliseconds(3.0),
            reset: Milliseconds(12.0),
            network: Milliseconds(0.5),
            timeout: Milliseconds::ZERO,
        }
    }
}

impl Default for EndpointPool {
    /// One endpoint without faults.
    fn default() -> Self {
        EndpointPool {
            count: 1,
            names: EndpointNames::default(),
            zones: 1,
            cells: 1,
            hardware_kinds: 1,
            weights: EndpointWeights::Equal,
            service: ServiceModel::default(),
            reports: ResponseReports::default(),
        }
    }
}

impl EndpointPool {
    /// All endpoints at the start.
    pub(crate) fn initial_endpoints(&self) -> Vec<super::SimulatedEndpoint> {
        let endpoint = |index| {
            let name = (self.names.initial)(index).into();
            super::SimulatedEndpoint::new(self, index, name, Timestamp::ZERO)
        };
        (0..self.count).map(endpoint).collect()
    }

    /// The weight that the endpoint list states for an endpoint.
    pub(super) fn weight(&self, number: u32) -> f64 {
        let varied = 1.0 + 0.5 * f64::from(number % 3);
        match self.weights {
            EndpointWeights::Equal => 1.0,
            EndpointWeights::Varied => varied,
            EndpointWeights::PartlyInvalid => match number % 5 {
                0 => 0.0,
                1 => f64::NAN,
                2 => -1.0,
                3 => 0.002,
                _ => varied,
            },
        }
    }
}
