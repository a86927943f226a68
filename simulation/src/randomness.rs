//! Random number generators and seeds of a run.

use rand_pcg::Pcg64Mcg;

/// A purpose for which the simulation draws random numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RandomStream {
    /// Client arrivals, request contents, disconnects and retries.
    Clients,
    /// Gossip loss, delay and tampering.
    Gossip,
    /// Delays until gateways learn of endpoint changes.
    Discovery,
    /// Service times, faults and response contents of endpoints.
    Endpoints,
    /// Early timers and aborted attempts.
    Host,
}

/// Assigns a seed to the decision engine of each gateway and incarnation. Sums of seeds wrap around.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewaySeeds {
    /// Seed of gateway 0 in its first incarnation.
    pub first: u64,
    /// Difference between the seeds of gateways with consecutive ids.
    pub step: u64,
    /// Difference between the seeds of consecutive incarnations of a gateway.
    pub incarnation_step: u64,
}

impl GatewaySeeds {
    /// Assigns consecutive seeds to the gateways, starting with `first` for gateway 0.
    #[must_use]
    pub fn consecutive_from(first: u64) -> GatewaySeeds {
        GatewaySeeds {
            first,
            step: 1,
            incarnation_step: 7919,
        }
    }

    #[must_use]
    pub(crate) fn seed(self, gateway: u32, incarnation: u32) -> u64 {
        self.first
            .wrapping_add(self.step.wrapping_mul(u64::from(gateway)))
            .wrapping_add(self.incarnation_step.wrapping_mul(u64::from(incarnation)))
    }
}

/// The random number generator of each [`RandomStream`], and the seeds of the gateways.
///
/// When streams share a generator, each draw for one stream changes the numbers that the others get. A stream
/// with a separate generator gets the same numbers even if another part of the scenario changes, which makes
/// runs comparable.
#[derive(Debug, Clone)]
pub struct Randomness {
    shared: Pcg64Mcg,
    separate: Vec<(RandomStream, Pcg64Mcg)>,
    gateway_seeds: GatewaySeeds,
}

impl Randomness {
    /// Uses one generator for all streams.
    #[must_use]
    pub fn shared(generator: Pcg64Mcg, gateway_seeds: GatewaySeeds) -> Randomness {
        Randomness {
            shared: generator,
            separate: Vec::new(),
            gateway_seeds,
        }
    }

    /// Gives a stream a separate generator. Replaces the stream's earlier separate generator, if any.
    #[must_use]
    pub fn with_separate(mut self, stream: RandomStream, generator: Pcg64Mcg) -> Randomness {
        self.separate.retain(|(separate, _)| *separate != stream);
        self.separate.push((stream, generator));
        self
    }

    /// Returns the generator that a stream draws from: its separate one, or else the shared one.
    pub fn stream(&mut self, stream: RandomStream) -> &mut Pcg64Mcg {
        let separate = self
            .separate
            .iter_mut()
            .find(|(candidate, _)| *candidate == stream);
        separate.map_or(&mut self.shared, |(_, generator)| generator)
    }

    pub(crate) fn gateway_seed(&self, gateway: u32, incarnation: u32) -> u64 {
        self.gateway_seeds.seed(gateway, incarnation)
    }
}
