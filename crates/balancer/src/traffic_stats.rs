//! Rates and moving averages of the traffic of this gateway.

/// Weight of a new sample in the averages of latency, cost hint and priority weight.
const AVERAGE_GAIN: f64 = 0.1;
/// Time constant of the measured request rates, in seconds.
pub(crate) const RATE_TIME_CONSTANT_S: f64 = 3.0;
/// Time constant of the averages of listed load and of requests in flight, in seconds.
const CONCURRENCY_TIME_CONSTANT_S: f64 = 2.5;
/// Fewest requests that the rates of served and unserved requests average over.
const MIN_AVERAGED_REQUEST_COUNT: f64 = 20.0;
/// Lowest request rate assumed when the time constant of those rates is chosen, in requests a second.
const MIN_RATE_FOR_TIME_CONSTANT_PER_S: f64 = 0.1;
/// Fraction of requests ending unserved at which admission is tightest.
const UNSERVED_RATIO_FOR_TIGHTEST_ADMISSION: f64 = 0.06;
/// Smallest request rate that a ratio is divided by, in requests a second.
const MIN_DIVISOR_PER_S: f64 = 1e-9;
/// Fraction of requests that are faster, measured by their cost hints, than the tracked quantile.
const LATENCY_PER_HINT_QUANTILE: f64 = 0.4;
/// Step of the tracked quantile, as a fraction; a larger one would follow short-lived queues.
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
    /// Counts an event.
    pub(crate) fn record(&mut self) {
        self.count += 1.0;
    }

    /// Adds the events counted over the last `elapsed_s` seconds to the average.
    fn fold(&mut self, elapsed_s: f64, gain: f64) {
        let count = std::mem::take(&mut self.count);
        self.per_s += gain * (count / elapsed_s - self.per_s);
    }
}

/// What this gateway has measured of its own traffic.
#[derive(Clone, Debug, Default)]
pub(crate) struct TrafficStats {
    /// Admitted requests that were served in time.
    pub(crate) served_in_time: EventRate,
    /// Requests that ended without being served.
    pub(crate) unserved: EventRate,
    /// Requests served by one warm endpoint.
    pub(crate) served_per_warm_endpoint: EventRate,
    /// First attempts of clients.
    pub(crate) first_attempts: EventRate,
    /// Fraction of requests ending unserved against the one at which admission is tightest, from 0 to 1.
    pub(crate) unserved_pressure: f64,
    /// Average of the requests in flight on a core over all endpoints, as listed.
    pub(crate) listed_in_flight_per_core: f64,
    /// Average of this gateway's requests in flight, over the same time.
    pub(crate) average_requests_in_flight: f64,
    /// Requests that have an attempt in flight now.
    pub(crate) requests_in_flight: f64,
    /// How far load reports allow admission to be eased, from 0 to 1.
    pub(crate) admission_headroom: f64,
    /// Average latency of all served requests, in seconds; 0 before the first.
    pub(crate) latency_s: f64,
    /// Average latency by class, in seconds; 0 before the first.
    pub(crate) class_latency_s: Vec<f64>,
    /// Average cost hint, in seconds; 0 before the first.
    pub(crate) cost_hint_s: f64,
    /// A low quantile of latency divided by cost hint; 0 before the first.
    pub(crate) latency_per_hint: f64,
    /// Average priority weight of arriving requests.
    pub(crate) priority_weight: f64,
}

/// The time since the averages were last updated and since the first event, in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AveragingInterval {
    /// Time since the last update; above 0.
    pub(crate) elapsed_s: f64,
    /// Time since the first event, up to now.
    pub(crate) observed_s: f64,
}

impl AveragingInterval {
    /// Weight of this interval in an average of the given time constant: that of a plain mean at first.
    fn gain(self, time_constant_s: f64) -> f64 {
        (1.0 - (-self.elapsed_s / time_constant_s).exp()).max(self.elapsed_s / self.observed_s)
    }
}

impl TrafficStats {
    /// Statistics of no traffic yet, for this many classes.
    pub(crate) fn new(class_count: usize) -> Self {
        TrafficStats { class_latency_s: vec![0.0; class_count], ..TrafficStats::default() }
    }

    /// Adds the last interval to all rates and averages.
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

    /// Time constant of the rates of served and unserved requests, in seconds: long enough to average over enough requests.
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

    /// Moves the tracked quantile of latency over cost hint by one served request; both times are in seconds, the hint above 0.
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

/// Moves an average towards a sample; the first sample sets it.
pub(crate) fn update_average(average: &mut f64, sample: f64) {
    *average += if *average > 0.0 { AVERAGE_GAIN * (sample - *average) } else { sample };
}
