//! Where discovery is polled, a change is known 6 s after discovery had it and could be reached, whatever goes wrong with a
//! watch or a poll.
//!
//! Runs in virtual time with the balancer, and with the times after which the gateway gives a watch or a poll up.

use proptest::prelude::*;
use std::time::Duration;
use weldworks_balancer::{Action, Balancer, Endpoint, EndpointId, Event, Settings};
use weldworks_control::watch_backoff::{POLL_FIRST_LIST_TIMEOUT, WATCH_SILENCE_TIMEOUT};

/// Longest time until a change is known.
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);
/// Time within which a live discovery answers a poll, its turn included.
const DISCOVERY_ANSWER_TIME: Duration = Duration::from_millis(2400);

/// What becomes of a poll while discovery can't be reached.
#[derive(Clone, Copy, Debug)]
enum PollFate {
    /// The poll is accepted or lost, and never answered.
    Unanswered,
    /// The poll fails after this time: refused, reset or answered with 503.
    Fails(Duration),
    /// The poll is answered, and its watch breaks after this time.
    Breaks(Duration),
    /// The poll is answered, and its watch sends a last message after this time.
    FallsSilent(Duration),
}

fn poll_fate() -> impl Strategy<Value = PollFate> {
    let duration = |range_ms: std::ops::Range<u64>| range_ms.prop_map(Duration::from_millis);
    prop_oneof![
        3 => Just(PollFate::Unanswered),
        3 => duration(0..2400).prop_map(PollFate::Fails),
        1 => duration(0..4000).prop_map(PollFate::Breaks),
        2 => duration(0..4000).prop_map(PollFate::FallsSilent),
    ]
}

/// A gateway's balancer, and the one poll or watch that it has.
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
                assert!(self.next_poll.is_none(), "one poll at a time");
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
        let (poll_at, token) = self.next_poll.take().expect("it polls again");
        self.now = poll_at;
        self.balancer.handle(self.now, Event::Timer { token }, &mut self.actions);
        assert_eq!(self.actions.drain(..).collect::<Vec<_>>(), [Action::PollDiscovery]);
        self.polls += 1;
    }

    /// Lets a poll have its fate. Returns the earliest time of a change that it did not report: right after the poll, or
    /// after the last message of its watch.
    fn suffer(&mut self, fate: PollFate) -> Duration {
        match fate {
            PollFate::Unanswered => {
                let polled_at = self.now;
                self.fail(POLL_FIRST_LIST_TIMEOUT, POLL_FIRST_LIST_TIMEOUT);
                polled_at
            }
            PollFate::Fails(after) => {
                let polled_at = self.now;
                self.fail(after, after);
                polled_at
            }
            PollFate::Breaks(after) => {
                self.receive_list();
                let silent_for = after.min(Duration::from_secs(2));
                let last_message_at = self.now + after - silent_for;
                self.fail(after, silent_for);
                last_message_at
            }
            PollFate::FallsSilent(after) => {
                self.receive_list();
                let last_message_at = self.now + after;
                self.fail(after + WATCH_SILENCE_TIMEOUT, WATCH_SILENCE_TIMEOUT);
                last_message_at
            }
        }
    }
}

/// A sequence of polls that all failed.
struct Outage {
    /// Longest time from a change until it was known, if discovery was back right after any of the polls.
    longest_delay: Duration,
    polls: u32,
    duration: Duration,
}

fn run_outage(poll_interval: Duration, seed: u64, fates: &[PollFate]) -> Outage {
    let mut gateway = PollingGateway::new(poll_interval, seed);
    gateway.poll();
    let started_at = gateway.now;
    let mut longest_delay = Duration::ZERO;
    for fate in fates {
        let changed_at = gateway.suffer(*fate);
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
        fates in prop::collection::vec(poll_fate(), 1..40),
    ) {
        let outage = run_outage(Duration::from_millis(poll_interval_ms), seed, &fates);
        prop_assert!(outage.longest_delay <= MAX_NOTIFICATION_DELAY, "{:?}", outage.longest_delay);
    }
}

/// Polls that fail one after the other, behind a watch that fell silent: the worst orders, each with a hundred seeds.
#[test]
fn the_worst_orders_of_failures_stay_within_the_limit() {
    let orders: [&[PollFate]; 4] = [
        &[PollFate::FallsSilent(Duration::ZERO), PollFate::Unanswered, PollFate::Unanswered],
        &[PollFate::Unanswered; 6],
        &[PollFate::Fails(Duration::from_millis(2399)); 6],
        &[PollFate::Fails(Duration::ZERO); 6],
    ];
    for fates in orders {
        for seed in 0..100 {
            let outage = run_outage(Duration::from_secs(10), seed, fates);
            let longest_delay = outage.longest_delay;
            assert!(longest_delay <= MAX_NOTIFICATION_DELAY, "{fates:?}: {longest_delay:?}");
        }
    }
}

/// Discovery fails and the polls of 350 gateways fail at once. Polls in step, or too many, would keep it down: each gateway
/// polls less than once a second on the mean, and they are spread.
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
        let outage = run_outage(Duration::from_secs(10), seed, &[PollFate::Fails(Duration::ZERO); 30]);
        total_polls_per_s += f64::from(outage.polls) / outage.duration.as_secs_f64();
    }
    let polls_per_s = total_polls_per_s / GATEWAYS as f64;
    assert!(polls_per_s < 1.0, "{polls_per_s} polls a second of each gateway");
    first_delays.sort_unstable();
    let window = Duration::from_millis(100);
    let polls_in_window = (0..first_delays.len()).map(|first| {
        first_delays[first..].iter().take_while(|delay| **delay < first_delays[first] + window).count()
    });
    assert!(polls_in_window.max() < Some(50), "350 polls come together");
}
