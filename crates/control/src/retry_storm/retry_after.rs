//! Schedules when rejected clients should retry, spread so that
//! their retries never exceed what endpoints will be able to serve.
//!
//! The schedule is a virtual clock of the generic cell rate algorithm (ITU-T I.371) whose rate changes: each
//! reservation advances the clock by the time that one retry takes up.

use super::decaying_counter::DecayingCounter;
use super::{RequestResult, StartedEndpoint};
use std::time::Duration;

/// A time at which a rejected client should retry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reservation {
    /// Delay from now until the client should retry.
    pub after: Duration,
    /// Whether capacity is reserved for the retry. False where all capacity
    /// within the longest `Retry-After` is reserved for other retries.
    pub is_reserved: bool,
}

/// Time constant of the rates of served requests and first attempts, in seconds.
const RATE_WINDOW_S: f64 = 2.0;
/// Fraction of the expected capacity that first attempts and reserved retries may use together.
const USABLE_CAPACITY_RATIO: f64 = 0.9;
/// Fraction of the capacity that retries may use even where first attempts take
/// all of it. Without any retries the end of the overload would not be noticed.
const MIN_RETRY_CAPACITY_RATIO: f64 = 0.05;
/// Largest jitter of a `Retry-After`, as a fraction of it, so that consecutive clients do not retry in step.
const JITTER_RATIO: f64 = 0.1;
/// Shortest `Retry-After`, in seconds: the rejection takes time to reach the client.
const MIN_RETRY_AFTER_S: f64 = 0.02;
/// Weight of a new sample in the average of the capacity of one endpoint.
const CAPACITY_SAMPLE_WEIGHT: f64 = 0.05;
/// Least capacity of an endpoint in slow start, as a fraction of its full capacity.
const MIN_SLOW_START_CAPACITY: f64 = 0.01;
/// Least duration of slow start, in seconds; keeps the warm-up fraction from dividing by zero.
const MIN_SLOW_START_DURATION_S: f64 = 1e-3;

/// Schedule of the times at which rejected clients should retry.
#[derive(Clone, Debug)]
pub struct RetryAfterSchedule {
    slow_start_min_capacity: f64,
    slow_start_duration_s: f64,
    max_retry_after_s: f64,
    rng: fastrand::Rng,
    endpoints: Vec<StartedEndpoint>,
    served: DecayingCounter,
    first_attempts: DecayingCounter,
    /// Requests per second that one endpoint past its slow start can serve; 0 while unknown.
    capacity_per_endpoint: f64,
    /// Earliest time that is not reserved for a retry yet, in seconds.
    next_free_s: f64,
}

impl RetryAfterSchedule {
    /// Creates an empty schedule. Endpoints start at `slow_start_min_capacity` of their full capacity and reach full
    /// capacity after `slow_start_duration`; clients respect a `Retry-After` of at most `max_retry_after`.
    pub fn new(
        slow_start_min_capacity: f64,
        slow_start_duration: Duration,
        max_retry_after: Duration,
        seed: u64,
    ) -> RetryAfterSchedule {
        RetryAfterSchedule {
            slow_start_min_capacity: slow_start_min_capacity.clamp(MIN_SLOW_START_CAPACITY, 1.0),
            slow_start_duration_s: slow_start_duration.as_secs_f64().max(MIN_SLOW_START_DURATION_S),
            max_retry_after_s: max_retry_after.as_secs_f64(),
            rng: fastrand::Rng::with_seed(seed),
            endpoints: Vec::new(),
            served: DecayingCounter::new(RATE_WINDOW_S),
            first_attempts: DecayingCounter::new(RATE_WINDOW_S),
            capacity_per_endpoint: 0.0,
            next_free_s: 0.0,
        }
    }

    /// Replaces the endpoints that accept requests.
    pub fn set_endpoints(&mut self, now: Duration, endpoints: &[StartedEndpoint]) {
        self.endpoints = endpoints.to_vec();
        self.next_free_s = self.next_free_s.min(now.as_secs_f64() + self.max_retry_after_s);
    }

    /// Records the first attempt of a client.
    pub fn record_first_attempt(&mut self, now: Duration) {
        self.first_attempts.add(now.as_secs_f64(), 1.0);
    }

    /// Records how a request was answered. The rate of served requests
    /// while others are rejected is the rate that endpoints can serve.
    pub fn record_result(&mut self, now: Duration, result: RequestResult) {
        let now_s = now.as_secs_f64();
        match result {
            RequestResult::Served => self.served.add(now_s, 1.0),
            RequestResult::Rejected => {
                self.served.add(now_s, 0.0);
                self.sample_capacity(now_s);
            }
            RequestResult::Failed => {}
        }
    }

    /// Records the rate of served requests for each endpoint as a sample of the capacity of one endpoint.
    fn sample_capacity(&mut self, now_s: f64) {
        let warm_endpoints = self.warm_endpoints(now_s);
        if warm_endpoints <= 0.0 {
            return;
        }
        let sample = self.served.rate_at(now_s) / warm_endpoints;
        if self.capacity_per_endpoint > 0.0 {
            self.capacity_per_endpoint += CAPACITY_SAMPLE_WEIGHT * (sample - self.capacity_per_endpoint);
        } else {
            self.capacity_per_endpoint = sample;
        }
    }

    /// Number of endpoints, each counted by the fraction of its full capacity that it has at the time `at_s`.
    fn warm_endpoints(&self, at_s: f64) -> f64 {
        self.endpoints.iter().map(|endpoint| self.warm_up_fraction(endpoint, at_s)).sum()
    }

    /// Fraction of its full capacity that an endpoint has at the time `at_s`. The curve is that of the warm-up fraction
    /// in `balancer::slow_start`, with `slow_start_min_capacity` as its lower bound.
    fn warm_up_fraction(&self, endpoint: &StartedEndpoint, at_s: f64) -> f64 {
        let Some(started_at) = endpoint.started_at else { return 1.0 };
        let elapsed_fraction =
            ((at_s - started_at.as_secs_f64()) / self.slow_start_duration_s).clamp(0.0, 1.0);
        self.slow_start_min_capacity + (1.0 - self.slow_start_min_capacity) * elapsed_fraction
    }

    /// Requests per second that all endpoints together can serve at the time `at`; 0 while unknown.
    pub fn capacity(&self, at: Duration) -> f64 {
        self.capacity_per_endpoint * self.warm_endpoints(at.as_secs_f64())
    }

    /// Retries per second that endpoints can serve at the time
    /// `at`, in addition to first attempts at their rate of `now`.
    fn spare_rate(&self, now: Duration, at: Duration) -> f64 {
        let first_attempts_per_s = self.first_attempts.rate_at(now.as_secs_f64());
        let capacity = self.capacity(at);
        (USABLE_CAPACITY_RATIO * capacity - first_attempts_per_s).max(MIN_RETRY_CAPACITY_RATIO * capacity)
    }

    /// Restarts the schedule at `now`, which is when a storm begins. Times that clients were already given stay valid.
    pub fn reset(&mut self, now: Duration) {
        self.next_free_s = now.as_secs_f64();
    }

    /// Reserves the next free time for the retry of a rejected client.
    pub fn reserve(&mut self, now: Duration) -> Reservation {
        let now_s = now.as_secs_f64();
        let min_retry_after_s = MIN_RETRY_AFTER_S.min(self.max_retry_after_s);
        self.next_free_s = self.next_free_s.max(now_s + min_retry_after_s);
        let jitter = 1.0 + JITTER_RATIO * (2.0 * self.rng.f64() - 1.0);
        let is_full = self.next_free_s > now_s + self.max_retry_after_s * (1.0 - JITTER_RATIO);
        if is_full {
            return self.unreserved();
        }
        let after_s = ((self.next_free_s - now_s) * jitter).clamp(min_retry_after_s, self.max_retry_after_s);
        let rate = self.spare_rate(now, Duration::from_secs_f64(self.next_free_s));
        self.next_free_s += if rate > 0.0 { 1.0 / rate } else { self.max_retry_after_s };
        Reservation { after: Duration::from_secs_f64(after_s), is_reserved: true }
    }

    /// A retry time for a client for which no capacity is left,
    /// spread over the later half of the longest `Retry-After`.
    fn unreserved(&mut self) -> Reservation {
        let after_s = self.max_retry_after_s * (0.5 + 0.5 * self.rng.f64());
        Reservation { after: Duration::from_secs_f64(after_s), is_reserved: false }
    }
}
