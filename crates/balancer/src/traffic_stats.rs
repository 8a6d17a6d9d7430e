//! Rates and moving averages of the traffic of this gateway.

/// Weight of a new sample in the averages of latency, cost hint and priority weight.
const AVERAGE_GAIN: f64 = 0.1;
/// Time constant of the measured request rates, in seconds.
pub(crate) const RATE_TIME_CONSTANT_S: f64 = 3.0;
/// Time constant of the averages of listed load and of this gateway's requests in flight, in seconds.
const CONCURRENCY_TIME_CONSTANT_S: f64 = 2.5;
/// Smallest number of requests over which the rates of served and unserved requests are averaged.
const MIN_AVERAGED_REQUEST_COUNT: f64 = 20.0;
/// Lowest request rate assumed for the time constant of the rates of served and unserved requests, in requests a second.
const MIN_RATE_FOR_TIME_CONSTANT_PER_S: f64 = 0.1;
/// Fraction of requests that end unserved at which admission is tightest.
const UNSERVED_RATIO_FOR_TIGHTEST_ADMISSION: f64 = 0.06;
/// Smallest request rate by which the rate of unserved requests is divided, in requests a second.
const MIN_DIVISOR_PER_S: f64 = 1e-9;
/// The tracked quantile of latency divided by cost hint: this fraction of requests is faster relative to their hints.
const LATENCY_PER_HINT_QUANTILE: f64 = 0.4;
/// Step by which the tracked quantile of latency divided by cost hint moves, as a fraction; larger steps would follow short-lived queues.
const LATENCY_PER_HINT_GAIN: f64 = 0.02;

/// Events per second, as an exponentially weighted average.
#[derive(Clone, Debug, Default)]
pub(crate) struct EventRate {
    /// Events since the average was last updated.
    count: f64,
    /// The average, in events a second.
    pub(crate) per_s: f64,
}

impl EventRate {
    /// Counts an event that the next update of the average includes.
    pub(crate) fn record(&mut self) {
        self.count += 1.0;
    }

    /// Adds the events counted over the last `elapsed_s` seconds to the average.
    fn fold(&mut self, elapsed_s: f64, gain: f64) {
        let count = std::mem::take(&mut self.count);
        self.per_s += gain * (count / elapsed_s - self.per_s);
    }
}

/// Statistics of this gateway's own traffic.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrafficStats {
    /// Rate of admitted requests that were served in time.
    pub(crate) served_in_time: EventRate,
    /// Rate of admitted requests that ended with a rejection or a failure.
    pub(crate) unserved: EventRate,
    /// Rate of requests served by one warm endpoint.
    pub(crate) served_per_warm_endpoint: EventRate,
    /// Rate of requests that clients do not mark as retries.
    pub(crate) first_attempts: EventRate,
    /// Unserved pressure: the fraction of requests that end unserved, divided by the fraction at which admission is tightest; from 0 to 1.
    pub(crate) unserved_pressure: f64,
    /// Average of the requests in flight on a core over all endpoints, according to live weights.
    pub(crate) listed_in_flight_per_core: f64,
    /// Average of this gateway's requests in flight, over the same time as the average of the listed load.
    pub(crate) average_requests_in_flight: f64,
    /// Number of this gateway's requests that have an attempt in flight now.
    pub(crate) requests_in_flight: f64,
    /// How far load reports allow the concurrency limit to be raised, from 0 to 1.
    pub(crate) admission_headroom: f64,
    /// Average latency of all served requests, in seconds; 0 before the first request is served.
    pub(crate) latency_s: f64,
    /// Average latency of served requests by class, in seconds; 0 before the first request of the class is served.
    pub(crate) class_latency_s: Vec<f64>,
    /// Average cost hint of arriving requests, in seconds; 0 before the first hint.
    pub(crate) cost_hint_s: f64,
    /// A low quantile of latency divided by cost hint; 0 before the first request with a hint is served.
    pub(crate) latency_per_hint: f64,
    /// Average priority weight of arriving requests.
    pub(crate) priority_weight: f64,
}

/// The time since the averages were last updated and since the first event, in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AveragingInterval {
    /// Time since the averages were last updated, in seconds; above 0.
    pub(crate) elapsed_s: f64,
    /// Time from the first event up to now, in seconds.
    pub(crate) observed_s: f64,
}

impl AveragingInterval {
    /// Weight of this interval in an average with this time constant. At first the weight is that of a plain mean.
    fn gain(self, time_constant_s: f64) -> f64 {
        (1.0 - (-self.elapsed_s / time_constant_s).exp()).max(self.elapsed_s / self.observed_s)
    }
}

impl TrafficStats {
    /// Statistics before any traffic, for this many request classes.
    pub(crate) fn new(class_count: usize) -> Self {
        TrafficStats { class_latency_s: vec![0.0; class_count], ..TrafficStats::default() }
    }

    /// Adds the traffic of the last interval to all rates and averages.
    pub(crate) fn fold(
        &mut self,
        interval: AveragingInterval,
        listed_in_flight_per_core: f64,
        warm_endpoints: f64,
    ) {
        let elapsed_s = interval.elapsed_s;
        let concurrency_gain = interval.gain(CONCURRENCY_TIME_CONSTANT_S);
        let rate_gain = interval.gain(RATE_TIME_CONSTANT_S);
        let outcome_gain = interval.gain(self.outcome_time_constant_s());
        self.listed_in_flight_per_core +=
            concurrency_gain * (listed_in_flight_per_core - self.listed_in_flight_per_core);
        self.average_requests_in_flight +=
            concurrency_gain * (self.requests_in_flight - self.average_requests_in_flight);
        self.served_in_time.fold(elapsed_s, outcome_gain);
        self.unserved.fold(elapsed_s, outcome_gain);
        self.first_attempts.fold(elapsed_s, rate_gain);
        self.unserved_pressure = self.unserved_pressure_now();
        if warm_endpoints > 0.0 {
            self.served_per_warm_endpoint.fold(elapsed_s * warm_endpoints, rate_gain);
        }
    }

    /// Time constant of the rates of served and unserved requests, in seconds:
    /// long enough to average over [`MIN_AVERAGED_REQUEST_COUNT`] requests.
    fn outcome_time_constant_s(&self) -> f64 {
        let ended_per_s = self.served_in_time.per_s + self.unserved.per_s;
        let enough_s = MIN_AVERAGED_REQUEST_COUNT / ended_per_s.max(MIN_RATE_FOR_TIME_CONSTANT_PER_S);
        (RATE_TIME_CONSTANT_S / 2.0).max(enough_s)
    }

    fn unserved_pressure_now(&self) -> f64 {
        let ended_per_s = self.unserved.per_s + self.served_in_time.per_s;
        let unserved_ratio = self.unserved.per_s / ended_per_s.max(MIN_DIVISOR_PER_S);
        (unserved_ratio / UNSERVED_RATIO_FOR_TIGHTEST_ADMISSION).min(1.0)
    }

    /// Moves the tracked quantile of latency divided by cost hint by one served request.
    /// The latency and the hint are in seconds, and the hint is above 0.
    pub(crate) fn track_latency_per_hint(&mut self, latency_s: f64, cost_hint_s: f64) {
        let sample = latency_s / cost_hint_s;
        let quantile = self.latency_per_hint;
        if quantile <= 0.0 {
            self.latency_per_hint = sample;
            return;
        }
        let step =
            if sample < quantile { LATENCY_PER_HINT_QUANTILE - 1.0 } else { LATENCY_PER_HINT_QUANTILE };
        self.latency_per_hint = quantile * (1.0 + LATENCY_PER_HINT_GAIN * step);
    }
}

/// Moves an average towards a sample; the first sample sets the average.
pub(crate) fn update_average(average: &mut f64, sample: f64) {
    *average += if *average > 0.0 { AVERAGE_GAIN * (sample - *average) } else { sample };
}
