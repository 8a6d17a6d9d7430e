//! Where discovery is asked: whatever goes wrong with a watch or a call, a change is known 6 s after discovery had it and could be
//! reached. Played in virtual time with the decision module, and with the times after which the gateway gives a watch or a call up.

use proptest::prelude::*;
use std::time::Duration;
use weldworks_balancer::{Action, Balancer, Endpoint, EndpointId, Event, Settings};
use weldworks_control::watch_backoff::{POLL_FIRST_LIST_TIMEOUT, WATCH_SILENCE_TIMEOUT};

/// The latest at which a change may be known.
const TOLD: Duration = Duration::from_secs(6);
/// A live discovery answers a call within this, its turn included.
const ANSWER: Duration = Duration::from_millis(2400);

/// What becomes of a call while discovery can't be reached.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// It is heard, or goes nowhere, and nothing is ever said.
    Held,
    /// It fails after so long: refused, reset, 503.
    Fails(Duration),
    /// It is answered, and its watch breaks so long after.
    Breaks(Duration),
    /// It is answered, and its watch falls silent so long after its last word, which came after so long.
    FallsSilent(Duration),
}

fn fate() -> impl Strategy<Value = Fate> {
    let ms = |range: std::ops::Range<u64>| range.prop_map(Duration::from_millis);
    prop_oneof![
        3 => Just(Fate::Held),
        3 => ms(0..2400).prop_map(Fate::Fails),
        1 => ms(0..4000).prop_map(Fate::Breaks),
        2 => ms(0..4000).prop_map(Fate::FallsSilent),
    ]
}

/// A gateway's module, and the one call or watch that it has.
struct Play {
    module: Balancer,
    now: Duration,
    actions: Vec<Action>,
    /// When the module asks next.
    asks: Option<(Duration, u64)>,
    calls: u32,
}

impl Play {
    fn new(within: Duration, seed: u64) -> Play {
        let module =
            Balancer::new(Settings { discovery_poll_interval: Some(within), ..Settings::default() }, seed);
        let now = Duration::from_secs(1000);
        let mut play = Play { module, now, actions: Vec::new(), asks: None, calls: 0 };
        play.hear();
        play
    }

    fn give(&mut self, event: Event<'_>) {
        self.module.handle(self.now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            if let Action::SetTimer { after, token } = action {
                assert!(self.asks.is_none(), "one call at a time");
                self.asks = Some((self.now + after, token));
            }
        }
    }

    fn hear(&mut self) {
        let hosts = [Endpoint::new(EndpointId(0), "s-1")];
        self.give(Event::EndpointList { is_snapshot: true, endpoints: &hosts });
    }

    fn fail(&mut self, after: Duration, quiet: Duration) {
        self.now += after;
        self.give(Event::DiscoveryFailed { silent_for: quiet });
    }

    /// Waits for the module to ask; it does so at this moment.
    fn ask(&mut self) {
        let (at, token) = self.asks.take().expect("it asks again");
        self.now = at;
        self.module.handle(self.now, Event::Timer { token }, &mut self.actions);
        assert_eq!(self.actions.drain(..).collect::<Vec<_>>(), [Action::PollDiscovery]);
        self.calls += 1;
    }
}

/// The longest from the moment in which a change was there to be had until it was known, where discovery is back from then on: at any
/// step of what came before.
fn longest(within: Duration, seed: u64, fates: &[Fate]) -> (Duration, u32, Duration) {
    let mut play = Play::new(within, seed);
    play.ask();
    let begun = play.now;
    let mut longest = Duration::ZERO;
    for fate in fates {
        // The change comes, and with it discovery, right after this call was made, or its watch's last word was heard.
        let unheard = match *fate {
            Fate::Held => {
                let since = play.now;
                play.fail(POLL_FIRST_LIST_TIMEOUT, POLL_FIRST_LIST_TIMEOUT);
                since
            }
            Fate::Fails(after) => {
                let since = play.now;
                play.fail(after, after);
                since
            }
            Fate::Breaks(after) => {
                play.hear();
                let quiet = after.min(Duration::from_secs(2));
                let since = play.now + after - quiet;
                play.fail(after, quiet);
                since
            }
            Fate::FallsSilent(after) => {
                play.hear();
                let since = play.now + after;
                play.fail(after + WATCH_SILENCE_TIMEOUT, WATCH_SILENCE_TIMEOUT);
                since
            }
        };
        play.ask();
        longest = longest.max(play.now + ANSWER - unheard);
    }
    (longest, play.calls, play.now - begun)
}

proptest! {
    #[test]
    fn a_change_is_known_in_time_whatever_came_before(
        within_ms in 500u64..20_000,
        seed in any::<u64>(),
        fates in prop::collection::vec(fate(), 1..40),
    ) {
        let (longest, ..) = longest(Duration::from_millis(within_ms), seed, &fates);
        prop_assert!(longest <= TOLD, "{longest:?}");
    }
}

/// Two silent calls one after the other, behind a watch that fell silent: the worst order, each a hundred times.
#[test]
fn the_worst_orders_stay_within_the_sum() {
    let orders: [&[Fate]; 4] = [
        &[Fate::FallsSilent(Duration::ZERO), Fate::Held, Fate::Held],
        &[Fate::Held; 6],
        &[Fate::Fails(Duration::from_millis(2399)); 6],
        &[Fate::Fails(Duration::ZERO); 6],
    ];
    for fates in orders {
        for seed in 0..100 {
            let (longest, ..) = longest(Duration::from_secs(10), seed, fates);
            assert!(longest <= TOLD, "{fates:?}: {longest:?}");
        }
    }
}

/// Many gateways whose calls fail at once must not keep discovery down: each asks less than once a second on the mean, and no two
/// together.
#[test]
fn calls_that_fail_are_spread_and_not_too_many() {
    let mut all = 0.0;
    let mut firsts = Vec::new();
    for seed in 0..350 {
        let mut play = Play::new(Duration::from_secs(10), seed);
        play.ask();
        play.fail(Duration::ZERO, Duration::ZERO);
        let failed = play.now;
        play.ask();
        firsts.push(play.now - failed);
        let (_, calls, took) = longest(Duration::from_secs(10), seed, &[Fate::Fails(Duration::ZERO); 30]);
        all += f64::from(calls) / took.as_secs_f64();
    }
    assert!(all / 350.0 < 1.0, "{} calls a second for each gateway", all / 350.0);
    firsts.sort_unstable();
    let most = (0..firsts.len())
        .map(|n| firsts[n..].iter().take_while(|at| **at < firsts[n] + Duration::from_millis(100)).count());
    assert!(most.max() < Some(50), "350 calls come together");
}
