//! Configuration of a fleet's endpoints.

use super::ServiceModel;
use marlshelf::{Milliseconds, Timestamp};

/// Number and properties of a fleet's endpoints.
#[derive(Clone, Debug)]
pub struct EndpointPool {
    /// Number of endpoints when the run starts.
    pub count: usize,
    /// Naming scheme of the endpoints.
    pub names: EndpointNames,
    /// Number of zones. Endpoint `k` is in zone `k % zones`.
    pub zones: u32,
    /// Number of cells. Endpoint `k` is in cell `k % cells`.
    pub cells: u32,
    /// Number of hardware kinds. Endpoint `k` has kind `k % hardware_kinds`, and higher kinds are slower.
    pub hardware_kinds: u32,
    /// Weights in the endpoint list.
    pub weights: EndpointWeights,
    /// Capacity and latency of endpoints with the first hardware kind.
    pub service: ServiceModel,
    /// Additional data in responses.
    pub reports: ResponseReports,
}

/// Naming scheme of endpoints. Gateways select their subsets of endpoints in the order of these names.
#[derive(Clone, Copy, Debug)]
pub struct EndpointNames {
    /// Maps the index of an initial endpoint to its name.
    pub initial: fn(usize) -> String,
    /// Maps the index of an existing endpoint and the index of its added copy to the name of the copy.
    pub added: fn(usize, usize) -> String,
}

/// Weights of endpoints in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointWeights {
    /// All weights are 1.
    Equal,
    /// Weights are 1, 1.5 or 2.
    Varied,
    /// One endpoint in five has a weight of 1, 1.5 or 2. The others have 0, NaN, -1 or 0.002.
    PartlyInvalid,
}

/// Delays until a gateway learns that an attempt has ended.
#[derive(Clone, Copy, Debug)]
pub struct ResponseDelays {
    /// Time until a connection attempt fails.
    pub connect_failure: Milliseconds,
    /// Time until an endpoint rejects a request as overloaded.
    pub rejection: Milliseconds,
    /// Time until an endpoint with [`Fault::Errors`](super::Fault::Errors) responds with an error.
    pub error: Milliseconds,
    /// Time until an endpoint with [`Fault::Resets`](super::Fault::Resets) resets a connection.
    pub reset: Milliseconds,
    /// Additional time from any of these events, or from the completion of a request, to the gateway.
    pub network: Milliseconds,
    /// Time from the deadline of an attempt until the gateway notices the timeout.
    pub timeout: Milliseconds,
}

/// Additional data in responses of endpoints. Ratios are between 0 and 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct ResponseReports {
    /// Fraction of responses with a load report and the tenant's metered use.
    pub load_report_ratio: f64,
    /// Fraction of successful responses with a random actual cost, among requests without
    /// [`ClientRequest::actual_cost`](crate::ClientRequest::actual_cost).
    pub actual_cost_ratio: f64,
}

impl Default for EndpointNames {
    fn default() -> Self {
        EndpointNames {
            initial: |index| format!("endpoint-{index}"),
            added: |original, index| format!("endpoint-{original}-{index}"),
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
    /// Returns a pool of one endpoint that reports no additional data.
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
    pub(crate) fn initial_endpoints(&self) -> Vec<super::SimulatedEndpoint> {
        let endpoint = |index| {
            let name = (self.names.initial)(index).into();
            super::SimulatedEndpoint::new(self, index, name, Timestamp::ZERO)
        };
        (0..self.count).map(endpoint).collect()
    }

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
