//! Feeds a balancer events by hand: two endpoints, a slow response and a hedged request.

use std::time::Duration;
use weldworks_balancer::{
    Action, Balancer, Endpoint, EndpointId, Event, Outcome, Request, RequestClass, RequestId, Settings,
};

/// Runs the example and prints each event with the actions that the balancer returns for it.
pub fn main() {
    let ms = Duration::from_millis;
    let settings = Settings { classes: vec![RequestClass::new(ms(200), ms(1000))], ..Settings::default() };
    let mut balancer = Balancer::new(settings, 42);
    let mut handle = |now: Duration, event: Event<'_>| {
        let mut actions = Vec::new();
        println!("{now:>6.1?}  {event:?}");
        balancer.handle(now, event, &mut actions);
        for action in &actions {
            println!("          -> {action:?}");
        }
        actions
    };

    let endpoints =
        [Endpoint::new(EndpointId(0), "10.0.0.1:80"), Endpoint::new(EndpointId(1), "10.0.0.2:80")];
    handle(ms(0), Event::EndpointList { is_snapshot: true, endpoints: &endpoints });
    let served = |request, attempt, latency| {
        let outcome = Outcome::Served;
        Event::AttemptEnded { request, attempt, latency, outcome, request_ended: true }
    };

    // The first request gives the balancer a latency sample.
    handle(ms(10), Event::Request(Request::new(RequestId(1), 0, ms(1010))));
    handle(ms(30), served(RequestId(1), 0, ms(20)));

    // The second request is not answered: when its timer is due, a hedge goes to the other endpoint.
    let actions = handle(ms(140), Event::Request(Request::new(RequestId(2), 0, ms(1140))));
    let hedge_delay = actions.iter().find_map(|action| match action {
        Action::SetTimer { after, .. } => Some(*after),
        _ => None,
    });
    let hedged_at = ms(140) + hedge_delay.expect("a request of an idempotent class sets a hedge timer");
    let actions = handle(hedged_at, Event::Timer { token: 2 });
    assert!(actions.iter().any(|action| matches!(action, Action::Send { .. })), "the timer sends a hedge");

    // The answer to the hedge ends the request, and the first attempt is cancelled.
    let actions = handle(hedged_at + ms(20), served(RequestId(2), 1, ms(20)));
    assert_eq!(actions, [Action::Cancel { request: RequestId(2), attempt: 0 }]);
}
