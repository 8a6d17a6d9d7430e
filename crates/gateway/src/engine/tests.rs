//! The loop without sockets: lists, starts of endpoints, stops, and a panic of the decision module.

use super::*;
use crate::discovery::endpoint_list::EndpointList;
use crate::transport::descriptor_budget::DescriptorBudget;
use tokio::task::LocalSet;

fn arrival(handle: &EngineHandle) -> (Box<Arrival>, oneshot::Receiver<FinalAnswer>) {
    let (answer, answered) = oneshot::channel();
    let give_up = handle.balancer_time(Instant::now()) + Duration::from_secs(20);
    let request = weldworks_balancer::Request::new(handle.next_request(), 0, give_up);
    let (method, uri) = Default::default();
    let forward = ForwardedRequest { method, uri, headers: Default::default(), body: Default::default() };
    let number = HeaderValue::from(request.id.0);
    let class = weldworks_balancer::RequestClass::new(Duration::from_secs(10), Duration::from_secs(30));
    let class = Rc::new(RegisteredClass { name: "look".into(), number: 0, class });
    let client = Rc::new(ClientLiveness::unobserved());
    (Box::new(Arrival { request, request_id: number, forward, class, answer, client }), answered)
}

fn gateway() -> (Engine, EngineHandle) {
    let mut settings = Settings::default();
    settings
        .classes
        .push(weldworks_balancer::RequestClass::new(Duration::from_secs(10), Duration::from_secs(30)));
    let names = StringInterner { tenants: vec![], zones: vec![], kinds: vec![] };
    let budget = DescriptorBudget::new(&Default::default(), false);
    let (dial_timeout, keepalive) = (Duration::from_secs(5), Duration::from_secs(10));
    let terms = crate::upstream::ConnectionSettings {
        dial_timeout,
        keep_alive: keepalive,
        load_report_fields: Default::default(),
    };
    let pool = Rc::new(ConnectionPool::new(budget.upstream, terms, Rc::default()));
    let nobody = SocketAddr::from(([127, 0, 0, 1], 1));
    Engine::new(settings, 1, names, pool, nobody)
}

fn list(name: &str) -> EndpointList {
    let text = r#"{"snapshot":true,"endpoints":[{"name":"NAME","address":"127.0.0.1:1"}]}"#;
    serde_json::from_str(&text.replace("NAME", name)).expect("a list")
}

/// What grows with all hosts that ever were would fill the memory in the end.
#[tokio::test]
async fn numbers_of_hosts_that_are_gone_are_used_again() {
    let local = LocalSet::new();
    let _inside = local.enter();
    let (mut gateway, handle) = gateway();
    gateway.learn(list("first"));
    let (held, _answered) = arrival(&handle);
    gateway.take(Message::RequestArrived(held));
    for n in 0..100 {
        gateway.learn(list(&format!("s-{n}")));
    }
    assert!(gateway.hosts.len() <= 4, "{} numbers for one host at a time", gateway.hosts.len());
    assert!(gateway.host_ids.len() <= 4 && gateway.listed.len() == gateway.hosts.len());
    // But not while an open request has been sent to the one that is gone.
    let host = gateway.host_ids.get("first").copied();
    assert_eq!(host, Some(EndpointId(0)), "its request is open still");
}

/// Two of sixty hosts are replaced by new ones every half second for a minute, some while a request is out there.
#[tokio::test]
async fn a_minute_of_replaced_hosts_leaves_no_more_numbers_than_hosts() {
    let local = LocalSet::new();
    let _inside = local.enter();
    let (mut gateway, handle) = gateway();
    let entry = |n: usize, status: &str| serde_json::json!({ "name": format!("s-{n}"), "address": format!("127.0.0.1:{}", 1 + n % 60), "status": status });
    let whole: Vec<_> = (0..60).map(|n| entry(n, "active")).collect();
    let list = |index: usize, snapshot: bool, endpoints: Vec<serde_json::Value>| {
        let list = serde_json::json!({ "index": index, "snapshot": snapshot, "endpoints": endpoints });
        serde_json::from_value::<EndpointList>(list).expect("a list")
    };
    gateway.learn(list(1, true, whole));
    for step in 0..120 {
        let (held, _answered) = arrival(&handle);
        let id = held.request.id;
        gateway.take(Message::RequestArrived(held));
        let (old, new) = (2 * step, 60 + 2 * step);
        let changes =
            vec![entry(old, "left"), entry(old + 1, "left"), entry(new, "active"), entry(new + 1, "active")];
        gateway.learn(list(2 + step, false, changes));
        gateway.take(Message::ClientDisconnected(id));
        // The attempt is called off, and its task tells so.
        while gateway.requests.contains_key(&id) {
            local.run_until(tokio::task::yield_now()).await;
            while let Ok(message) = gateway.messages.try_recv() {
                gateway.take(message);
            }
        }
    }
    let up = gateway.listed.iter().filter(|h| h.state == EndpointState::Up).count();
    assert_eq!((up, gateway.requests.len()), (60, 0));
    assert!(gateway.hosts.len() <= 70, "{} numbers for 60 hosts at a time", gateway.hosts.len());
}

/// An old replica, or an answer overtaken on its way, must not undo a drain.
#[tokio::test]
async fn a_bad_list_costs_only_itself_and_an_old_one_nothing() {
    let local = LocalSet::new();
    let _inside = local.enter();
    let (mut gateway, _handle) = gateway();
    let news = |text: &str| serde_json::from_str::<EndpointList>(text).expect("a list");
    gateway.learn(news(
        r#"{"index":7,"snapshot":true,"endpoints":[{"name":"a","address":"127.0.0.1:1"},{"name":"b","address":"127.0.0.1:2"}]}"#,
    ));
    gateway
        .learn(news(r#"{"index":9,"endpoints":[{"name":"a","address":"127.0.0.1:1","status":"leaving"}]}"#));
    gateway.learn(news(r#"{"index":8,"endpoints":[{"name":"a","address":"127.0.0.1:1"}]}"#));
    let state = |gateway: &Engine, name: &str| {
        gateway.host_ids.get(name).map(|id| gateway.listed[id.0 as usize].state)
    };
    assert_eq!(state(&gateway, "a"), Some(EndpointState::Draining), "the older word is passed over");
    assert_eq!(gateway.version, 9);
    gateway.learn(news(
        r#"{"index":10,"endpoints":[{"name":"b","address":"nowhere"},{"name":"c","address":"127.0.0.1:3","status":"leaving"},{"name":"c","address":"127.0.0.1:3"},{"name":"d","address":"?"}]}"#,
    ));
    assert_eq!(state(&gateway, "b"), Some(EndpointState::Up), "it keeps the address it is known by");
    assert_eq!(state(&gateway, "c"), Some(EndpointState::Up), "the last one counts");
    assert_eq!(state(&gateway, "d"), Some(EndpointState::Removed), "nowhere to send to");
    assert_eq!(gateway.faults.len(), 3);
}

/// The time of a body that came in pieces begins with its end, which may come when the process is already on its way out.
#[tokio::test]
async fn a_body_that_ends_during_a_stop_has_no_more_time_than_that() {
    let local = LocalSet::new();
    let _inside = local.enter();
    let (mut gateway, handle) = gateway();
    let (held, _answered) = arrival(&handle);
    let id = held.request.id;
    gateway.take(Message::RequestArrived(held));
    let late = Instant::now() + Duration::from_secs(20);
    gateway.take(Message::BodyForwarded { request: id, client_deadline: late });
    assert_eq!(gateway.requests.get(&id).map(|e| e.give_up), Some(late));
    let by = Instant::now() + Duration::from_secs(1);
    handle.set_shutdown_deadline(by);
    gateway.take(Message::BodyForwarded { request: id, client_deadline: late });
    assert_eq!(gateway.requests.get(&id).map(|e| e.give_up), Some(by));
}

/// A list of one host by this name that started at this Unix time, in seconds from now by this machine's wall clock.
fn started_at(name: &str, index: u64, whole: bool, from_now: i64) -> EndpointList {
    let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a clock");
    let since = i64::try_from(unix.as_millis()).expect("this age") + 1000 * from_now;
    let list = serde_json::json!({ "index": index, "snapshot": whole, "endpoints": [
        { "name": name, "address": "127.0.0.1:1", "since_ms": since }] });
    serde_json::from_value(list).expect("a list")
}

/// How long ago the module takes the host for started.
fn age(gateway: &Engine, name: &str) -> Option<Duration> {
    let started = gateway.listed[gateway.host_ids[name].0 as usize].started?;
    gateway.handle.balancer_time(Instant::now()).checked_sub(started)
}

/// What a new discovery has to tell counts 4 s after the signal, a call may wait 2.4 s for its turn there, and nothing new goes to a
/// host 2 s after it is told to drain: the call is due before the sum of these, whether a watch was on or a call was waited for.
#[tokio::test]
async fn a_new_discovery_is_asked_in_time_also_while_the_old_one_was_waited_for() {
    let local = LocalSet::new();
    let _inside = local.enter();
    for seed in 0..200 {
        let (mut gateway, _handle) = gateway();
        let settings =
            Settings { discovery_poll_interval: Some(Duration::from_secs(10)), ..gateway.settings.clone() };
        gateway.balancer = Balancer::new(settings.clone(), seed);
        gateway.settings = settings;
        gateway.learn(list("s-1"));
        if seed % 2 == 0 {
            gateway.subscribe();
        }
        gateway.timers.clear();
        gateway.decide(Event::DiscoveryFailed { silent_for: Duration::ZERO }); // the next call is seconds away
        let moved = Instant::now();
        gateway.rediscover(SocketAddr::from(([127, 0, 0, 1], 2)));
        let asks = gateway.timers.iter().filter(|Reverse((_, timer))| *timer == Timer::Module(0));
        let next = asks.map(|Reverse((at, _))| *at).min().expect("a call to come");
        let wait = next.saturating_duration_since(moved);
        assert!(wait <= Duration::from_millis(3050), "seed {seed}: asked after {wait:?}");
    }
}

/// The wall clock is an hour ahead: a host that was seen to restart a moment ago looks an hour old by it.
#[tokio::test]
async fn a_restart_that_was_seen_is_not_hidden_by_a_clock_that_is_ahead() {
    let local = LocalSet::new();
    let _inside = local.enter();
    let (mut gateway, _handle) = gateway();
    gateway.learn(started_at("a", 1, true, -9000));
    let heard = Some(Instant::now());
    for (index, name, from_now) in [(2, "a", -3600), (3, "a", -3599), (4, "b", -3602)] {
        gateway.learn_after(heard, started_at(name, index, false, from_now));
        let age = age(&gateway, name).expect("a start in the past");
        assert!(age < Duration::from_secs(10), "version {index}: taken for {age:?} old");
    }
}

/// The wall clock is an hour behind: every host that has a start comes from the future, and would be cold until then.
#[tokio::test]
async fn a_start_does_not_lie_in_the_future_of_a_clock_that_is_behind() {
    let local = LocalSet::new();
    let _inside = local.enter();
    let (mut gateway, _handle) = gateway();
    gateway.learn(started_at("a", 1, true, 3000));
    gateway.learn(started_at("b", 2, false, 3600));
    for name in ["a", "b"] {
        assert!(age(&gateway, name).is_some(), "{name} starts in the future");
    }
}

/// A panic of the module can't be had from outside; what follows one can.
#[tokio::test]
async fn starting_over_fails_what_is_held_and_serves_on() {
    let local = LocalSet::new();
    let _inside = local.enter();
    let (mut gateway, handle) = gateway();
    gateway.learn(list("s-1"));
    let (held, mut answered) = arrival(&handle);
    gateway.take(Message::RequestArrived(held));
    assert!(answered.try_recv().is_err(), "nothing has answered it so far");
    gateway.start_over();
    assert!(matches!(answered.try_recv(), Ok(FinalAnswer::Failed(StatusCode::BAD_GATEWAY))));
    let (next, _answered) = arrival(&handle);
    let id = next.request.id;
    gateway.take(Message::RequestArrived(next));
    assert_eq!(gateway.requests.get(&id).map(|e| e.out), Some(1), "the hosts are known still");
}
