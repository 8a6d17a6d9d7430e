//! Selects the endpoint of an attempt: the eligible endpoint with the lowest score.
//! A score is the product of the terms of [`ScoreTerms`], mainly attempts in flight times expected latency.

use crate::api::{self, EndpointState, Idempotency};
use crate::balancer::Balancer;
use crate::endpoint_state::EndpointRecord;
use crate::request::{AttemptState, RequestState};

/// Weight of the cross-zone cost: the zone term of an endpoint in another zone is 1 + this × [`crate::Settings::cross_zone_cost`].
/// Under full unserved pressure [`WAIVED_COST_FRACTION`] of the cost is waived.
const CROSS_ZONE_PENALTY_PER_COST: f64 = 30.0;
/// Weight of the handshake cost: the handshake term of an endpoint without an idle connection is 1 + this ×
/// [`crate::Settings::handshake_cost`]. Under full unserved pressure [`WAIVED_COST_FRACTION`] of the cost is waived. With many gateways an
/// idle connection would mostly expire before its next use; with this weight each gateway prefers the endpoints that it used last.
const HANDSHAKE_PENALTY_PER_COST: f64 = 20.0;
/// Fraction of the cross-zone and handshake costs that is waived at full unserved pressure,
/// so that requests leave a zone in which they fail.
const WAIVED_COST_FRACTION: f64 = 0.85;
/// Score of a key's preferred endpoint, relative to the best score, from which the best endpoint is selected instead.
const MAX_AFFINITY_SCORE_RATIO: f64 = 3.0;
/// Attempts in flight above the mean up to which an endpoint does not count as avoided. Used only for the metric.
const AVOIDED_EXCESS_IN_FLIGHT_COUNT: f64 = 2.0;

/// The factors of an endpoint's score for a request; a lower score is better.
struct ScoreTerms {
    /// This gateway's attempts in flight at the endpoint, the new attempt included.
    in_flight: f64,
    /// Expected latency in seconds, raised by overdue attempts and by failures of the request's class.
    latency_s: f64,
    /// 1 for an endpoint in the gateway's zone, more for one in another zone.
    zone: f64,
    /// 1 for an endpoint with an idle connection, more for one without.
    handshake: f64,
}

impl ScoreTerms {
    fn score(&self) -> f64 {
        self.in_flight * self.latency_s * self.zone * self.handshake
    }
}

/// Inputs that are the same for the scores of all endpoints for one request.
struct ScoreContext {
    now_s: f64,
    class: usize,
    class_objective_s: f64,
    longest_objective_s: f64,
    zone: u32,
    /// Added to the zone term of an endpoint in another zone.
    cross_zone_penalty: f64,
    /// Added to the handshake term of an endpoint without an idle connection.
    handshake_penalty: f64,
}

impl ScoreContext {
    fn terms(&self, endpoint: &EndpointRecord) -> ScoreTerms {
        ScoreTerms {
            in_flight: endpoint.in_flight_since_s.len() as f64 + 1.0,
            latency_s: self.latency_term_s(endpoint),
            zone: self.zone_term(endpoint),
            handshake: self.handshake_term(endpoint),
        }
    }

    fn latency_term_s(&self, endpoint: &EndpointRecord) -> f64 {
        let failures = endpoint.class_failures.get(self.class).copied().unwrap_or_default();
        endpoint.latency_with_overdue_s(self.now_s)
            + failures.latency_penalty_s(self.now_s, self.class_objective_s, self.longest_objective_s)
    }

    fn zone_term(&self, endpoint: &EndpointRecord) -> f64 {
        if endpoint.entry.zone == self.zone {
            1.0
        } else {
            1.0 + self.cross_zone_penalty
        }
    }

    /// The handshake term of a cold endpoint is 1: such an endpoint has few connections because it gets few attempts.
    /// Only its slow-start tokens limit the attempts to a cold endpoint.
    fn handshake_term(&self, endpoint: &EndpointRecord) -> f64 {
        let has_idle_connection =
            self.now_s < endpoint.idle_connection_until_s && endpoint.in_flight_since_s.is_empty();
        if endpoint.is_warm() && !has_idle_connection {
            1.0 + self.handshake_penalty
        } else {
            1.0
        }
    }
}

/// An endpoint's number and its score for a request.
#[derive(Clone, Copy)]
struct Candidate {
    score: f64,
    endpoint: usize,
}

/// The two endpoints that a key prefers: those with the highest rank by rendezvous hashing, whose ranks are the same at every gateway.
struct PreferredEndpoints {
    by_rank: [(u64, Candidate); 2],
}

impl PreferredEndpoints {
    fn none() -> Self {
        PreferredEndpoints { by_rank: [(0, Candidate { score: f64::INFINITY, endpoint: 0 }); 2] }
    }

    fn offer(&mut self, rank: u64, candidate: Candidate) {
        if rank > self.by_rank[0].0 {
            self.by_rank = [(rank, candidate), self.by_rank[0]];
        } else if rank > self.by_rank[1].0 {
            self.by_rank[1] = (rank, candidate);
        }
    }

    /// The preferred endpoint with the lower score.
    fn best(&self) -> Candidate {
        let [first, second] = [self.by_rank[0].1, self.by_rank[1].1];
        if second.score.total_cmp(&first.score).is_lt() {
            second
        } else {
            first
        }
    }
}

/// Whether the next attempt of the request may go to the endpoint: slow start allows an attempt, no earlier
/// attempt of the request went to the endpoint, and the endpoint would recognize a repetition of each attempt that was possibly processed.
/// Whether the request may be sent at all is decided by the caller.
fn is_eligible(
    request: &RequestState,
    idempotency: Idempotency,
    endpoint: &EndpointRecord,
    index: usize,
) -> bool {
    let recognizes_repeat = |attempt: &AttemptState| match idempotency {
        Idempotency::IdempotencyKey { scope, .. } => {
            scope.partition_of(&endpoint.entry) == attempt.key_partition
        }
        _ => true,
    };
    endpoint.has_attempt_token()
        && request
            .attempts
            .iter()
            .all(|attempt| attempt.endpoint != index && (attempt.not_processed || recognizes_repeat(attempt)))
}

impl Balancer {
    /// Number of listed endpoints that get almost no traffic now, a metric:
    /// draining endpoints, and endpoints that would be selected only once every other endpoint had two attempts in flight above the mean.
    pub fn avoided_endpoint_count(&self, now: std::time::Duration) -> usize {
        let now_s = now.as_secs_f64();
        let scaled_latency_s =
            |endpoint: &EndpointRecord| endpoint.latency_with_overdue_s(now_s) * endpoint.relative_size;
        let ready = self.ready.len() as f64;
        let total_s: f64 = self.ready.iter().map(|&index| scaled_latency_s(&self.endpoints[index])).sum();
        let busy = AVOIDED_EXCESS_IN_FLIGHT_COUNT + self.traffic.requests_in_flight / ready.max(1.0);
        let is_avoided = |endpoint: &&EndpointRecord| match endpoint.entry.state {
            EndpointState::Removed => false,
            EndpointState::Draining => true,
            EndpointState::Up => {
                let latency_s = scaled_latency_s(endpoint);
                ready > 1.0 && latency_s > busy * (total_s - latency_s) / (ready - 1.0)
            }
        };
        self.endpoints.iter().filter(is_avoided).count()
    }

    /// The ready endpoint for the request's next attempt, if any is eligible.
    /// A key's preferred endpoints have priority, unless their scores are much worse than the best score.
    pub(crate) fn select_endpoint(&mut self, now_s: f64, request: &RequestState) -> Option<usize> {
        let idempotency = self.settings.classes[request.class].idempotency;
        let context = self.score_context(now_s, request.class);
        let affinity_key = request.key.filter(|_| self.settings.key_cache_affinity);
        let mut preferred = PreferredEndpoints::none();
        let mut best_score = f64::INFINITY;
        let mut best = None;
        // Of endpoints with equal scores the first is selected, so the search starts at a random endpoint.
        let start = self.rng.usize(0..=self.ready.len());
        for &index in self.ready[start..].iter().chain(&self.ready[..start]) {
            let endpoint = &self.endpoints[index];
            let score = if is_eligible(request, idempotency, endpoint, index) {
                context.terms(endpoint).score()
            } else {
                f64::INFINITY
            };
            if let Some(key) = affinity_key {
                let rank = api::mix(key ^ endpoint.entry.hash);
                preferred.offer(rank, Candidate { score, endpoint: index });
            }
            if score < best_score {
                best_score = score;
                best = Some(index);
            }
        }
        let preferred = preferred.best();
        if preferred.score < MAX_AFFINITY_SCORE_RATIO * best_score {
            return Some(preferred.endpoint);
        }
        best
    }

    fn score_context(&self, now_s: f64, class: usize) -> ScoreContext {
        let cost_fraction = 1.0 - WAIVED_COST_FRACTION * self.traffic.unserved_pressure;
        ScoreContext {
            now_s,
            class,
            class_objective_s: self.settings.classes[class].latency_objective.as_secs_f64(),
            longest_objective_s: self.derived_settings.longest_objective_s,
            zone: self.settings.zone,
            cross_zone_penalty: CROSS_ZONE_PENALTY_PER_COST * self.settings.cross_zone_cost * cost_fraction,
            handshake_penalty: HANDSHAKE_PENALTY_PER_COST * self.settings.handshake_cost * cost_fraction,
        }
    }
}
