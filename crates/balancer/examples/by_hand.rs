//! Drives the module by hand: two hosts, a slow answer, a second copy.

use std::time::Duration;
use weldworks_balancer::{
    Action, Balancer, Endpoint, EndpointId, Event, Outcome, Request, RequestClass, RequestId, Settings,
};

/// Prints each event and what the module does about it.
pub fn main() {
    let ms = Duration::from_millis;
    let settings = Settings { classes: vec![RequestClass::new(ms(200), ms(1000))], ..Settings::default() };
    let mut balancer = Balancer::new(settings, 42);
    let mut actions = Vec::new();
    let mut step = |now: Duration, event: Event<'_>| {
        actions.clear();
        println!("{now:>6.1?}  {event:?}");
        balancer.handle(now, event, &mut actions);
        actions.iter().for_each(|action| println!("          -> {action:?}"));
        actions.clone()
    };

    let hosts = [Endpoint::new(EndpointId(0), "10.0.0.1:80"), Endpoint::new(EndpointId(1), "10.0.0.2:80")];
    step(ms(0), Event::EndpointList { is_snapshot: true, endpoints: &hosts });
    let served = |request, attempt, latency| {
        let outcome = Outcome::Served;
        Event::AttemptEnded { request, attempt, latency, outcome, request_ended: true }
    };

    // A first request teaches the module what an answer takes.
    step(ms(10), Event::Request(Request::new(RequestId(1), 0, ms(1010))));
    step(ms(30), served(RequestId(1), 0, ms(20)));

    // The next one is not answered: at the planned look a second copy goes to the other host.
    let sent = step(ms(140), Event::Request(Request::new(RequestId(2), 0, ms(1140))));
    let look =
        sent.iter().find_map(|a| if let Action::SetTimer { after, .. } = a { Some(*after) } else { None });
    let then = ms(140) + look.expect("a look is planned for a class that is safe to repeat");
    let copy = step(then, Event::Timer { token: 2 });
    assert!(copy.iter().any(|a| matches!(a, Action::Send { .. })), "a second copy");

    // Its answer ends the request, and the first attempt is called off.
    let last = step(then + ms(20), served(RequestId(2), 1, ms(20)));
    assert_eq!(last, [Action::Cancel { request: RequestId(2), attempt: 0 }]);
}
