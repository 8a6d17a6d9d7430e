//! Where discovery is polled, a gateway knows a change at most 6 s after
//! discovery had it and could be reached, however watches and polls fail before.
//!
//! The tests run in virtual time with the balancer, and with the
//! timeouts after which the gateway abandons a watch or a poll.

use proptest::prelude::*;
use std::time::Duration;
use weldworks_balancer::{Action, Balancer, Endpoint, EndpointId, Event, Settings};
use weldworks_control::watch_backoff::{POLL_FIRST_LIST_TIMEOUT, WATCH_SILENCE_TIMEOUT};

/// Longest time until a gateway knows a change.
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);
/// Time within which a live discovery answers a poll, including the wait for its turn.
const DISCOVERY_ANSWER_TIME: Duration = Duration::from_millis(2400);

/// How a poll fails, or the watch that it opens.
#[derive(Clone, Copy, Debug)]
enum PollFailure {
    /// The poll is accepted or lost, and is never answered.
    Unanswered,
    /// The poll fails after this time: its connection is refused or reset, or it is answered with 503.
    Fails(Duration),
    /// The poll is answered, and its watch breaks after this time.
    WatchBreaks(Duration),
    /// The poll is answered, and its watch sends a last message after this time.
    WatchStopsSending(Duration),
}

fn poll_failure() -> impl Strategy<Value = PollFailure> {
    let duration = |range_ms: std::ops::Range<u64>| range_ms.prop_map(Duration::from_millis);
    prop_oneof![
        3 => Just(PollFailure::Unanswered),
        3 => duration(0..2400).prop_map(PollFailure::Fails),
        1 => duration(0..4000).prop_map(PollFailure::WatchBreaks),
        2 => duration(0..4000).prop_map(PollFailure::WatchStopsSending),
    ]
}

/// A gateway's balancer, with its only poll or watch.
struct PollingGateway {
    balancer: Balancer,
    now: Duration,
    actions: Vec<Action>,
    /// Time and token of the timer for the next poll.
    next_poll: Option<(Duration, u64)>,
    polls: u32,
}

impl PollingGateway {
    fn new(poll_interval: Duration, seed: u64) -> PollingGateway {
        let settings = Settings { discovery_poll_interval: Some(poll_interval), ..Settings::default() };
        let mut gateway = PollingGateway {
            balancer: Balancer::new(settings, seed),
            now: Duration::from_secs(1000),
            actions: Vec::new(),
            next_poll: None,
            polls: 0,
        };
        gateway.receive_list();
        gateway
    }

    fn handle(&mut self, event: Event<'_>) {
        self.balancer.handle(self.now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            if let Action::SetTimer { after, token } = action {
                assert!(self.next_poll.is_none(), "a timer for the next poll is already set");
                self.next_poll = Some((self.now + after, token));
            }
        }
    }

    fn receive_list(&mut self) {
        let endpoints = [Endpoint::new(EndpointId(0), "s-1")];
        self.handle(Event::EndpointList { is_snapshot: true, endpoints: &endpoints });
    }

    fn fail(&mut self, after: Duration, silent_for: Duration) {
        self.now += after;
        self.handle(Event::DiscoveryFailed { silent_for });
    }

    /// Advances to the time of the next poll.
    fn poll(&mut self) {
        let (poll_at, token) = self.next_poll.take().expect("the gateway has set a timer for the next poll");
        self.now = poll_at;
        self.balancer.handle(self.now, Event::Timer { token }, &mut self.actions);
        assert_eq!(self.actions.drain(..).collect::<Vec<_>>(), [Action::PollDiscovery]);
        self.polls += 1;
    }

    /// Lets a poll fail. Returns the earliest time of a change that the poll did
    /// not report: right after the poll, or after the last message of its watch.
    fn fail_poll(&mut self, failure: PollFailure) -> Duration {
        match failure {
            PollFailure::Unanswered => {
                let polled_at = self.now;
                self.fail(POLL_FIRST_LIST_TIMEOUT, POLL_FIRST_LIST_TIMEOUT);
                polled_at
            }
            PollFailure::Fails(after) => {
                let polled_at = self.now;
                self.fail(after, after);
                polled_at
            }
            PollFailure::WatchBreaks(after) => {
                self.receive_list();
                let silent_for = after.min(Duration::from_secs(2));
                let last_message_at = self.now + after - silent_for;
                self.fail(after, silent_for);
                last_message_at
            }
            PollFailure::WatchStopsSending(after) => {
                self.receive_list();
                let last_message_at = self.now + after;
                self.fail(after + WATCH_SILENCE_TIMEOUT, WATCH_SILENCE_TIMEOUT);
                last_message_at
            }
        }
    }
}

/// The result of a sequence of polls that all failed.
struct Outage {
    /// Longest time from a change until the gateway knew it, if discovery came back right after any of the polls.
    longest_delay: Duration,
    polls: u32,
    duration: Duration,
}

fn run_outage(poll_interval: Duration, seed: u64, failures: &[PollFailure]) -> Outage {
    let mut gateway = PollingGateway::new(poll_interval, seed);
    gateway.poll();
    let started_at = gateway.now;
    let mut longest_delay = Duration::ZERO;
    for failure in failures {
        let changed_at = gateway.fail_poll(*failure);
        gateway.poll();
        longest_delay = longest_delay.max(gateway.now + DISCOVERY_ANSWER_TIME - changed_at);
    }
    Outage { longest_delay, polls: gateway.polls, duration: gateway.now - started_at }
}

proptest! {
    /// Discovery fails in any way, any number of times, and returns with a change. A drain that is not noticed in time
    /// sends requests to an endpoint that is about to stop.
    #[test]
    fn a_change_is_known_in_time_whatever_failed_before(
        poll_interval_ms in 500u64..20_000,
        seed in any::<u64>(),
        failures in prop::collection::vec(poll_failure(), 1..40),
    ) {
        let outage = run_outage(Duration::from_millis(poll_interval_ms), seed, &failures);
        prop_assert!(outage.longest_delay <= MAX_NOTIFICATION_DELAY, "{:?}", outage.longest_delay);
    }
}

/// Polls fail one after another, also after a watch that stopped sending: the worst orders, each with a hundred seeds.
#[test]
fn the_worst_orders_of_failures_stay_within_the_limit() {
    let orders: [&[PollFailure]; 4] = [
        &[PollFailure::WatchStopsSending(Duration::ZERO), PollFailure::Unanswered, PollFailure::Unanswered],
        &[PollFailure::Unanswered; 6],
        &[PollFailure::Fails(Duration::from_millis(2399)); 6],
        &[PollFailure::Fails(Duration::ZERO); 6],
    ];
    for failures in orders {
        for seed in 0..100 {
            let outage = run_outage(Duration::from_secs(10), seed, failures);
            let longest_delay = outage.longest_delay;
            assert!(longest_delay <= MAX_NOTIFICATION_DELAY, "{failures:?}: {longest_delay:?}");
        }
    }
}

/// Discovery fails and the polls of 350 gateways fail at once. Polls in step, or too many polls, would keep discovery
/// down: each gateway polls less than once a second on the mean, and the polls are spread.
#[test]
fn failed_polls_are_spread_and_limited_in_rate() {
    const GATEWAYS: u64 = 350;
    let mut total_polls_per_s = 0.0;
    let mut first_delays = Vec::new();
    for seed in 0..GATEWAYS {
        let mut gateway = PollingGateway::new(Duration::from_secs(10), seed);
        gateway.poll();
        gateway.fail(Duration::ZERO, Duration::ZERO);
        let failed_at = gateway.now;
        gateway.poll();
        first_delays.push(gateway.now - failed_at);
        let outage = run_outage(Duration::from_secs(10), seed, &[PollFailure::Fails(Duration::ZERO); 30]);
        total_polls_per_s += f64::from(outage.polls) / outage.duration.as_secs_f64();
    }
    let polls_per_s = total_polls_per_s / GATEWAYS as f64;
    assert!(polls_per_s < 1.0, "{polls_per_s} polls per second by each gateway");
    first_delays.sort_unstable();
    let window = Duration::from_millis(100);
    let polls_in_window = (0..first_delays.len()).map(|first| {
        first_delays[first..].iter().take_while(|delay| **delay < first_delays[first] + window).count()
    });
    assert!(polls_in_window.max() < Some(50), "too many of the 350 polls fall within 100 ms");
}
