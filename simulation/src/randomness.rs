//! The random numbers of a run.

use rand_pcg::Pcg64Mcg;

/// What random numbers are drawn for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RandomStream {
    /// Arrival, requests, disconnects and retries of clients.
    Clients,
    /// Loss, delay and tampering of gossip.
    Gossip,
    /// The delays with which gateways learn of changed endpoints.
    Discovery,
    /// Service times, faults and the contents of responses.
    Endpoints,
    /// Early timers and aborted attempts.
    Host,
}

/// The seeds of the decision engines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewaySeeds {
    /// The seed of gateway 0.
    pub first: u64,
    /// The difference between the seeds of two neighbours.
    pub step: u64,
    /// The difference between the seeds of two incarnations of a gateway.
    pub incarnation_step: u64,
}

impl GatewaySeeds {
    /// Consecutive seeds, from this one for gateway 0.
    #[must_use]
    pub fn consecutive_from(first: u64) -> GatewaySeeds {
        GatewaySeeds {
            first,
            step: 1,
            incarnation_step: 7919,
        }
    }

    /// The seed of one incarnation of a gateway.
    #[must_use]
    pub(crate) fn of(self, gateway: u32, incarnation: u32) -> u64 {
        self.first
            .wrapping_add(self.step.wrapping_mul(u64::from(gateway)))
            .wrapping_add(self.incarnation_step.wrapping_mul(u64::from(incarnation)))
    }
}

/// All random numbers of a run: a generator for each [`RandomStream`], and the seeds of the gateways.
///
/// Streams may share a generator. Then each draw of one shifts the numbers of the others. A stream with a generator of
/// its own keeps its numbers when the scenario changes elsewhere, which makes runs comparable.
#[derive(Debug, Clone)]
pub struct Randomness {
    shared: Pcg64Mcg,
    separate: Vec<(RandomStream, Pcg64Mcg)>,
    gateway_seeds: GatewaySeeds,
}

impl Randomness {
    /// One generator for all streams.
    #[must_use]
    pub fn shared(generator: Pcg64Mcg, gateway_seeds: GatewaySeeds) -> Randomness {
        Randomness {
            shared: generator,
            separate: Vec::new(),
            gateway_seeds,
        }
    }

    /// Gives a stream a generator of its own.
    #[must_use]
    pub fn with_separate(mut self, stream: RandomStream, generator: Pcg64Mcg) -> Randomness {
        self.separate.retain(|(separate, _)| *separate != stream);
        self.separate.push((stream, generator));
        self
    }

    /// The generator of a stream.
    pub fn stream(&mut self, stream: RandomStream) -> &mut Pcg64Mcg {
        let separate = self.separate.iter_mut().find(|(of, _)| *of == stream);
        separate.map_or(&mut self.shared, |(_, generator)| generator)
    }

    /// The seed of one incarnation of a gateway.
    pub(crate) fn gateway_seed(&self, gateway: u32, incarnation: u32) -> u64 {
        self.gateway_seeds.of(gateway, incarnation)
    }
}
