//! Random draws that belong to what they are for.
//!
//! Sockets and the scheduler never run twice alike. If draws came from one stream, the order of events would decide
//! who gets which, and two runs with one seed would be two different days. So each draw has a stream of its own,
//! made from the seed, what it is for and whose it is: the work of request 17 is the same in every run.

use rand::{Rng, RngCore, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal, StandardNormal};
use rand_pcg::Pcg64Mcg;
use weldworks_balancer::mix;

/// What a draw is for. The number is part of the seed, so it never changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum For {
    /// The arrivals of the whole day: times, classes, tenants, keys.
    Arrivals = 1,
    /// A request's work.
    Work = 2,
    /// A client's habits: patience, heed.
    Habits = 3,
    /// What a request costs more or less at one node than at another.
    Attempt = 4,
    /// Whether a failing node fails an attempt.
    Failure = 5,
    /// A node's build: kind, speed, phase of its reports.
    Build = 6,
    /// A node's pauses.
    Pause = 7,
    /// The noise of one report.
    Report = 8,
    /// A neighbour's comings and goings.
    Neighbour = 9,
    /// The way of one message.
    Network = 10,
    /// Which nodes an event meets.
    Event = 11,
    /// When the register tells of a change.
    Register = 12,
    /// A gateway's own seed.
    Gateway = 13,
    /// A request's number.
    Number = 14,
    /// The jitter of a gateway's advice.
    Advice = 15,
}

/// All draws of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Draws {
    seed: u64,
}

impl Draws {
    /// The draws of a seed.
    pub fn new(seed: u64) -> Draws {
        Draws { seed: mix(seed ^ 0x9e37_79b9_7f4a_7c15) }
    }

    /// A stream of its own for one thing, told apart by its number.
    pub fn stream(&self, what: For, whose: u64) -> Stream {
        let seed = mix(self.seed ^ mix((what as u64) << 56 ^ whose));
        Stream(Pcg64Mcg::seed_from_u64(seed))
    }

    /// A stream for a pair, such as a request and a node.
    pub fn stream_of_two(&self, what: For, one: u64, other: u64) -> Stream {
        self.stream(what, mix(one) ^ mix(other.wrapping_add(0x5bd1_e995)))
    }

    /// A number for one thing.
    pub fn number(&self, what: For, whose: u64) -> u64 {
        self.stream(what, whose).0.next_u64()
    }
}

/// A stream of draws.
#[derive(Clone, Debug)]
pub struct Stream(Pcg64Mcg);

impl Stream {
    /// Evenly from 0 up to 1.
    pub fn even(&mut self) -> f64 {
        self.0.random::<f64>()
    }

    /// Evenly within a range.
    pub fn within(&mut self, (least, most): (f64, f64)) -> f64 {
        least + (most - least) * self.even()
    }

    /// True with this chance.
    pub fn chance(&mut self, chance: f64) -> bool {
        self.even() < chance
    }

    /// A whole number below `end`; 0 where `end` is 0.
    pub fn below(&mut self, end: usize) -> usize {
        if end == 0 {
            0
        } else {
            self.0.random_range(0..end)
        }
    }

    /// Exponential with mean 1.
    pub fn exponential(&mut self) -> f64 {
        Exp1.sample(&mut self.0)
    }

    /// Normal with mean 0 and deviation 1.
    pub fn normal(&mut self) -> f64 {
        StandardNormal.sample(&mut self.0)
    }

    /// Log-normal with mean 1 and this coefficient of variation.
    pub fn log_normal(&mut self, variation: f64) -> f64 {
        let variance = (1.0 + variation * variation).ln();
        match LogNormal::new(-variance / 2.0, variance.sqrt()) {
            Ok(distribution) => distribution.sample(&mut self.0),
            Err(_) => 1.0, // a variation that is no number; scripts are checked for that
        }
    }

    /// A whole number of 64 bits.
    pub fn number(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// A place in a list of weights, by weight; 0 where all are 0.
    pub fn place(&mut self, weights: &[f64]) -> usize {
        let all: f64 = weights.iter().sum();
        let mut left = self.even() * all;
        for (n, weight) in weights.iter().enumerate() {
            left -= weight;
            if left < 0.0 {
                return n;
            }
        }
        0
    }

    /// The generator itself, for distributions of other crates.
    pub fn generator(&mut self) -> &mut Pcg64Mcg {
        &mut self.0
    }
}
