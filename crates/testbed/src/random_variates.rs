//! Random variates for simulations, in independent streams for each purpose and subject.
//!
//! Sockets and the scheduler never behave identically in two runs. With a single stream of random numbers, the order of events would
//! decide which event gets which number, and two runs with the same seed would simulate different scenarios. So each variate has a stream
//! of its own, seeded by the seed of the run, the purpose and the subject: the work of request 17 is the same in every run.

use rand::{Rng, RngCore, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal, StandardNormal};
use rand_pcg::Pcg64Mcg;
use weldworks_balancer::mix;

/// The purpose of a random stream. Its number is part of the stream's seed and therefore never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// All arrivals of a run: times, classes, tenants, idempotency keys.
    Arrivals = 1,
    /// The work of a request.
    RequestWork = 2,
    /// The behaviour of a client, such as its timeout and whether it observes `Retry-After`.
    ClientBehaviour = 3,
    /// How much more or less a request costs at one endpoint than at another.
    AttemptCost = 4,
    /// Whether a failing endpoint fails an attempt.
    AttemptFailure = 5,
    /// Properties of an endpoint: its kind, its speed and the phase of its load reports.
    EndpointProperties = 6,
    /// The pauses of an endpoint.
    EndpointPauses = 7,
    /// The noise of one load report.
    LoadReportNoise = 8,
    /// When a noisy neighbour of an endpoint starts and stops.
    NoisyNeighbour = 9,
    /// The network delay of one message.
    NetworkDelay = 10,
    /// Which endpoints a scripted event affects.
    ScriptedEvent = 11,
    /// The delay until discovery reports a change.
    DiscoveryDelay = 12,
    /// The seed of a gateway's own random numbers.
    GatewaySeed = 13,
    /// The identifier of a request.
    RequestId = 14,
    /// The jitter of a gateway's `Retry-After` schedule.
    RetryAfterJitter = 15,
}

/// The random streams of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RandomStreams {
    seed: u64,
}

impl RandomStreams {
    /// The random streams of the run with this seed.
    pub fn new(seed: u64) -> RandomStreams {
        RandomStreams { seed: mix(seed ^ 0x9e37_79b9_7f4a_7c15) }
    }

    /// The stream of one purpose and one subject, which is identified by a number such as that of a request.
    pub fn stream(&self, purpose: Purpose, subject: u64) -> RandomStream {
        let seed = mix(self.seed ^ mix((purpose as u64) << 56 ^ subject));
        RandomStream(Pcg64Mcg::seed_from_u64(seed))
    }

    /// The stream for a pair of subjects, such as a request and an endpoint.
    pub fn stream_for_pair(&self, purpose: Purpose, first: u64, second: u64) -> RandomStream {
        self.stream(purpose, mix(first) ^ mix(second.wrapping_add(0x5bd1_e995)))
    }

    /// A 64-bit random number for one purpose and subject.
    pub fn number(&self, purpose: Purpose, subject: u64) -> u64 {
        self.stream(purpose, subject).0.next_u64()
    }
}

/// A stream of random variates.
#[derive(Clone, Debug)]
pub struct RandomStream(Pcg64Mcg);

impl RandomStream {
    /// A random number uniformly distributed from 0 up to but not including 1.
    pub fn uniform(&mut self) -> f64 {
        self.0.random::<f64>()
    }

    /// A random number uniformly distributed within a range.
    pub fn uniform_in(&mut self, (min, max): (f64, f64)) -> f64 {
        min + (max - min) * self.uniform()
    }

    /// A random boolean that is true with the given probability.
    pub fn bernoulli(&mut self, probability: f64) -> bool {
        self.uniform() < probability
    }

    /// A random integer uniformly distributed below `end`; 0 if `end` is 0.
    pub fn uniform_below(&mut self, end: usize) -> usize {
        if end == 0 {
            0
        } else {
            self.0.random_range(0..end)
        }
    }

    /// A random number exponentially distributed with mean 1.
    pub fn exponential(&mut self) -> f64 {
        Exp1.sample(&mut self.0)
    }

    /// A random number normally distributed with mean 0 and standard deviation 1.
    pub fn normal(&mut self) -> f64 {
        StandardNormal.sample(&mut self.0)
    }

    /// A random number log-normally distributed with mean 1 and this coefficient of variation.
    pub fn log_normal(&mut self, coefficient_of_variation: f64) -> f64 {
        let variance = (1.0 + coefficient_of_variation * coefficient_of_variation).ln();
        match LogNormal::new(-variance / 2.0, variance.sqrt()) {
            Ok(distribution) => distribution.sample(&mut self.0),
            Err(_) => 1.0, // the coefficient of variation is not finite, which scripts are checked for
        }
    }

    /// A random 64-bit integer.
    pub fn number(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// A random index of a list of weights, with probabilities proportional to the weights; 0 if all weights are 0.
    pub fn weighted_index(&mut self, weights: &[f64]) -> usize {
        let total: f64 = weights.iter().sum();
        let mut remaining = self.uniform() * total;
        for (index, weight) in weights.iter().enumerate() {
            remaining -= weight;
            if remaining < 0.0 {
                return index;
            }
        }
        0
    }

    /// The underlying generator, for distributions of other crates.
    pub fn generator(&mut self) -> &mut Pcg64Mcg {
        &mut self.0
    }
}
