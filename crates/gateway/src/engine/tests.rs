//! Tests of the engine without sockets: endpoint lists, start times, shutdown, and a panic of the balancer.

use super::message::{Arrival, FinalAnswer};
use super::*;
use crate::body::ForwardedRequest;
use crate::discovery::endpoint_list::EndpointList;
use crate::transport::client_liveness::ClientLiveness;
use crate::transport::descriptor_budget::{AdminApi, DescriptorBudget};
use hyper::header::HeaderValue;
use hyper::StatusCode;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use weldworks_balancer::{Event, PollFailure};
use weldworks_control::class_registry::RegisteredClass;

fn arrival(handle: &EngineHandle) -> (Box<Arrival>, oneshot::Receiver<FinalAnswer>) {
    let (answer, receiver) = oneshot::channel();
    let client_deadline = handle.balancer_time(Instant::now()) + Duration::from_secs(20);
    let request = weldworks_balancer::Request::new(handle.next_request(), 0, client_deadline);
    let (method, uri) = Default::default();
    let forward = ForwardedRequest { method, uri, headers: Default::default(), body: Default::default() };
    let id_header = HeaderValue::from(request.id.0);
    let class = weldworks_balancer::RequestClass::new(Duration::from_secs(10), Duration::from_secs(30));
    let class = Rc::new(RegisteredClass { name: "look".into(), number: 0, class });
    let client = Rc::new(ClientLiveness::without_connection());
    (Box::new(Arrival { request, request_id: id_header, forward, class, answer, client }), receiver)
}

fn engine() -> (Engine, EngineHandle) {
    let mut settings = Settings::default();
    settings
        .classes
        .push(weldworks_balancer::RequestClass::new(Duration::from_secs(10), Duration::from_secs(30)));
    let names = StringInterner { tenants: vec![], zones: vec![], kinds: vec![] };
    let budget = DescriptorBudget::new(&Default::default(), AdminApi::Disabled);
    let (dial_timeout, keepalive) = (Duration::from_secs(5), Duration::from_secs(10));
    let connection_settings = crate::upstream::ConnectionSettings {
        dial_timeout,
        keep_alive: keepalive,
        load_report_fields: Default::default(),
    };
    let pool = Rc::new(ConnectionPool::new(budget.upstream, connection_settings, Rc::default()));
    let discovery_address = SocketAddr::from(([127, 0, 0, 1], 1));
    Engine::new(settings, 1, names, pool, discovery_address)
}

fn list(name: &str) -> EndpointList {
    let text = r#"{"snapshot":true,"endpoints":[{"name":"NAME","address":"127.0.0.1:1"}]}"#;
    serde_json::from_str(&text.replace("NAME", name)).expect("parse the endpoint list")
}

/// Endpoints are added and removed for as long as the process runs. Tables that grew with each added endpoint would fill the memory.
#[tokio::test]
async fn ids_of_removed_endpoints_are_reused() {
    let local = LocalSet::new();
    let _inside = local.enter();
    let (mut engine, handle) = engine();
    engine.apply_endpoint_list(list("first"));
    let (arrived, _answer) = arrival(&handle);
    engine.apply_message(Message::RequestArrived(arrived));
    for n in 0..100 {
        engine.apply_endpoint_list(list(&format!("s-{n}")));
    }
    assert!(engine.endpoints.len() <= 4, "{} ids for one endpoint at a time", engine.endpoints.len());
    assert!(engine.endpoint_ids.len() <= 4 && engine.listed_endpoints.len() == engine.endpoints.len());
    // An id is not reused while an open request has been sent to its endpoint.
    let id = engine.endpoint_ids.get("first").copied();
    assert_eq!(id, Some(EndpointId(0)), "its request is still open");
}

/// Two of sixty endpoints are replaced by new endpoints, as every half second for a minute, each time with a request in flight.
#[tokio::test]
async fn replacing_endpoints_for_a_minute_keeps_the_number_of_ids_bounded() {
    let local = LocalSet::new();
    let _inside = local.enter();
    let (mut engine, handle) = engine();
    let entry = |n: usize, status: &str| serde_json::json!({ "name": format!("s-{n}"), "address": format!("127.0.0.1:{}", 1 + n % 60), "status": status });
    let snapshot: Vec<_> = (0..60).map(|n| entry(n, "active")).collect();
    let list = |index: usize, snapshot: bool, endpoints: Vec<serde_json::Value>| {
        let list = serde_json::json!({ "index": index, "snapshot": snapshot, "endpoints": endpoints });
        serde_json::from_value::<EndpointList>(list).expect("parse the endpoint list")
    };
    engine.apply_endpoint_list(list(1, true, snapshot));
    for step in 0..120 {
        let (arrived, _answer) = arrival(&handle);
        let id = arrived.request.id;
        engine.apply_message(Message::RequestArrived(arrived));
        let (old, new) = (2 * step, 60 + 2 * step);
        let delta =
            vec![entry(old, "left"), entry(old + 1, "left"), entry(new, "active"), entry(new + 1, "active")];
        engine.apply_endpoint_list(list(2 + step, false, delta));
        engine.apply_message(Message::ClientDisconnected(id));
        // The attempt is cancelled, and its task reports the attempt's end.
        while engine.requests.get(id).is_some() {
            local.run_until(tokio::task::yield_now()).await;
            while let Ok(message) = engine.messages.try_recv() {
                engine.apply_message(message);
            }
        }
    }
    let up = engine.listed_endpoints.iter().filter(|listed| listed.state == EndpointState::Up).count();
    assert_eq!((up, engine.requests.len()), (60, 0));
    assert!(engine.endpoints.len() <= 70, "{} ids for 60 endpoints at a time", engine.endpoints.len());
}

/// A delta older than the list in force, from a lagging replica of discovery or overtaken on its way, must not undo a drain.
#[tokio::test]
async fn a_faulty_entry_affects_no_other_entry_and_an_outdated_delta_is_ignored() {
    let local = LocalSet::new();
    let _inside = local.enter();
    let (mut engine, _handle) = engine();
    let delta = |text: &str| serde_json::from_str::<EndpointList>(text).expect("parse the endpoint list");
    engine.apply_endpoint_list(delta(
        r#"{"index":7,"snapshot":true,"endpoints":[{"name":"a","address":"127.0.0.1:1"},{"name":"b","address":"127.0.0.1:2"}]}"#,
    ));
    engine.apply_endpoint_list(delta(
        r#"{"index":9,"endpoints":[{"name":"a","address":"127.0.0.1:1","status":"leaving"}]}"#,
    ));
    engine.apply_endpoint_list(delta(r#"{"index":8,"endpoints":[{"name":"a","address":"127.0.0.1:1"}]}"#));
    let state = |engine: &Engine, name: &str| {
        engine.endpoint_ids.get(name).map(|id| engine.listed_endpoints[id.0 as usize].state)
    };
    assert_eq!(state(&engine, "a"), Some(EndpointState::Draining), "the outdated delta is ignored");
    assert_eq!(engine.list_index, 9);
    engine.apply_endpoint_list(delta(
        r#"{"index":10,"endpoints":[{"name":"b","address":"nowhere"},{"name":"c","address":"127.0.0.1:3","status":"leaving"},{"name":"c","address":"127.0.0.1:3"},{"name":"d","address":"?"}]}"#,
    ));
    assert_eq!(state(&engine, "b"), Some(EndpointState::Up), "b keeps its previous address");
    assert_eq!(state(&engine, "c"), Some(EndpointState::Up), "of two entries for c, the last counts");
    assert_eq!(state(&engine, "d"), Some(EndpointState::Removed), "d has no valid address");
    assert_eq!(engine.list_faults.len(), 3);
}

/// The answer deadline of a streamed body counts from the body's last byte, which may arrive while the process is shutting down.
#[tokio::test]
async fn a_body_that_completes_during_shutdown_gets_the_shutdown_deadline() {
    let local = LocalSet::new();
    let _inside = local.enter();
    let (mut engine, handle) = engine();
    let (arrived, _answer) = arrival(&handle);
    let id = arrived.request.id;
    engine.apply_message(Message::RequestArrived(arrived));
    let late = Instant::now() + Duration::from_secs(20);
    engine.apply_message(Message::BodyForwarded { request: id, answer_deadline: late });
    assert_eq!(engine.requests.get(id).map(|entry| entry.answer_deadline), Some(late));
    let by = Instant::now() + Duration::from_secs(1);
    handle.set_shutdown_deadline(by);
    engine.apply_message(Message::BodyForwarded { request: id, answer_deadline: late });
    assert_eq!(engine.requests.get(id).map(|entry| entry.answer_deadline), Some(by));
}

/// Guards against a 504 for a long upload whose body ends shortly before the first deadline of the request.
#[tokio::test]
async fn the_timer_of_an_upload_s_first_deadline_does_not_end_it_after_its_deadline_has_moved() {
    let local = LocalSet::new();
    let _inside = local.enter();
    let (mut engine, handle) = engine();
    let (arrived, mut answer) = arrival(&handle);
    let id = arrived.request.id;
    engine.apply_message(Message::RequestArrived(arrived));
    let later = Instant::now() + Duration::from_secs(30);
    engine.apply_message(Message::BodyForwarded { request: id, answer_deadline: later });
    engine.enforce_request_deadline(id);
    assert!(answer.try_recv().is_err(), "answered before its deadline");
    engine.apply_message(Message::BodyForwarded { request: id, answer_deadline: Instant::now() });
    engine.enforce_request_deadline(id);
    assert!(matches!(answer.try_recv(), Ok(FinalAnswer::Failed(StatusCode::GATEWAY_TIMEOUT))));
}

/// An endpoint list with one endpoint, which by this machine's wall clock starts `from_now` seconds from now.
fn started_at(name: &str, index: u64, snapshot: bool, from_now: i64) -> EndpointList {
    let unix = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("the wall clock is after 1970");
    let since = i64::try_from(unix.as_millis()).expect("the milliseconds fit into an i64") + 1000 * from_now;
    let list = serde_json::json!({ "index": index, "snapshot": snapshot, "endpoints": [
        { "name": name, "address": "127.0.0.1:1", "since_ms": since }] });
    serde_json::from_value(list).expect("parse the endpoint list")
}

/// Time since the endpoint's start as given to the balancer; `None` where that start is unknown or in the future.
fn age(engine: &Engine, name: &str) -> Option<Duration> {
    let started = engine.listed_endpoints[engine.endpoint_ids[name].0 as usize].started?;
    engine.handle.balancer_time(Instant::now()).checked_sub(started)
}

/// The first poll of a new discovery must come before these times add up, whether a watch was open or a poll was pending before:
///
/// - the lists of a new discovery count from 4 s after the reload signal;
/// - a poll may wait 2.4 s for its turn at the new discovery;
/// - an endpoint may get no new request from 2 s after it is notified to drain.
#[tokio::test]
async fn a_new_discovery_is_polled_in_time_while_a_poll_of_the_old_one_is_pending() {
    let local = LocalSet::new();
    let _inside = local.enter();
    for seed in 0..200 {
        let (mut engine, _handle) = engine();
        let settings =
            Settings { discovery_poll_interval: Some(Duration::from_secs(10)), ..engine.settings.clone() };
        engine.balancer = Balancer::new(settings.clone(), seed);
        engine.settings = settings;
        engine.apply_endpoint_list(list("s-1"));
        if seed % 2 == 0 {
            engine.open_watch();
        }
        engine.timers.clear();
        let cause = PollFailure::Unreachable;
        engine.notify(Event::DiscoveryFailed { silent_for: Duration::ZERO, cause }); // schedules the next poll seconds later
        let moved = Instant::now();
        engine.switch_discovery(SocketAddr::from(([127, 0, 0, 1], 2)));
        let polls = engine.timers.iter().filter(|(_, timer)| *timer == Timer::Balancer(0));
        let next = polls.map(|(at, _)| *at).min().expect("a poll is scheduled");
        let wait = next.saturating_duration_since(moved);
        assert!(wait <= Duration::from_millis(3050), "seed {seed}: polled after {wait:?}");
    }
}

/// With a wall clock an hour ahead, an endpoint that was observed to restart a moment ago seems to have started an hour ago.
#[tokio::test]
async fn an_observed_restart_is_not_hidden_by_a_wall_clock_that_is_ahead() {
    let local = LocalSet::new();
    let _inside = local.enter();
    let (mut engine, _handle) = engine();
    engine.apply_endpoint_list(started_at("a", 1, true, -9000));
    let previous_message_at = Some(Instant::now());
    for (index, name, from_now) in [(2, "a", -3600), (3, "a", -3599), (4, "b", -3602)] {
        engine.apply_received_list(previous_message_at, started_at(name, index, false, from_now));
        let age = age(&engine, name).expect("the start is known and in the past");
        assert!(age < Duration::from_secs(10), "list {index}: estimated age is {age:?}");
    }
}

/// With a wall clock an hour behind, every start time lies in the future, and the endpoint would be in slow start until then.
#[tokio::test]
async fn a_start_never_lies_in_the_future_where_the_wall_clock_is_behind() {
    let local = LocalSet::new();
    let _inside = local.enter();
    let (mut engine, _handle) = engine();
    engine.apply_endpoint_list(started_at("a", 1, true, 3000));
    engine.apply_endpoint_list(started_at("b", 2, false, 3600));
    for name in ["a", "b"] {
        assert!(age(&engine, name).is_some(), "{name} starts in the future");
    }
}

/// A panic of the balancer can't be provoked from outside, so the restart that follows a panic is called directly.
/// Without the restart, open requests would wait for an answer until their deadline.
#[tokio::test]
async fn a_balancer_restart_fails_open_requests_and_serves_new_ones() {
    let local = LocalSet::new();
    let _inside = local.enter();
    let (mut engine, handle) = engine();
    engine.apply_endpoint_list(list("s-1"));
    let (arrived, mut answer) = arrival(&handle);
    engine.apply_message(Message::RequestArrived(arrived));
    assert!(answer.try_recv().is_err(), "not answered yet");
    engine.restart_balancer();
    assert!(matches!(answer.try_recv(), Ok(FinalAnswer::Failed(StatusCode::BAD_GATEWAY))));
    let (next, _answer) = arrival(&handle);
    let id = next.request.id;
    engine.apply_message(Message::RequestArrived(next));
    assert_eq!(
        engine.requests.get(id).map(|entry| entry.attempts_in_flight),
        Some(1),
        "the endpoints are still known"
    );
}

/// An engine that polls discovery and has an answered watch with an endpoint list of index 4.
fn watching_engine() -> Engine {
    let (mut engine, _handle) = engine();
    engine.settings.discovery_poll_interval = Some(Duration::from_secs(10));
    engine.open_watch();
    receive_list(&mut engine, 4);
    engine
}

/// Delivers an endpoint list with this index on the engine's current watch.
fn receive_list(engine: &mut Engine, index: u64) {
    let list = EndpointList { index, ..list("s-1") };
    let watch = engine.watch_id;
    engine.apply_message(Message::EndpointListReceived { watch, list, previous_message_at: None });
}

/// Guards against a delayed gateway that drops a working watch and polls seconds later, as it hears of a list from the fleet before it reads it.
#[tokio::test]
async fn a_list_that_arrives_after_the_fleet_has_it_is_read_from_the_current_watch() {
    let local = LocalSet::new();
    let _inside = local.enter();
    let mut engine = watching_engine();
    let watch = engine.watch_id;
    engine.apply_message(Message::ListLagging { current: 5 });
    receive_list(&mut engine, 5);
    engine.refresh_lagging_list();
    assert_eq!((engine.watch_id, engine.list_index), (watch, 5));
    assert!(engine.watch_task.is_some());
}

#[tokio::test]
async fn a_watch_whose_list_stays_behind_the_fleets_is_replaced_after_the_grace() {
    let local = LocalSet::new();
    let _inside = local.enter();
    let mut engine = watching_engine();
    engine.apply_message(Message::ListLagging { current: 5 });
    let checks = engine.timers.iter().filter(|(_, timer)| *timer == Timer::ListLagCheck);
    let check_at = checks.map(|(at, _)| *at).min().expect("a check is scheduled");
    assert!(check_at <= Instant::now() + Duration::from_millis(200));
    engine.refresh_lagging_list();
    assert!(engine.watch_task.is_none(), "the watch on a discovery that lags is ended");
}

/// Guards against a call to discovery that is ended each second, before a slow discovery can answer it.
#[tokio::test]
async fn a_watch_that_is_not_answered_yet_is_not_ended_for_a_lag() {
    let local = LocalSet::new();
    let _inside = local.enter();
    let mut engine = watching_engine();
    engine.open_watch();
    let watch = engine.watch_id;
    engine.apply_message(Message::ListLagging { current: 5 });
    engine.refresh_lagging_list();
    assert_eq!(engine.watch_id, watch);
    assert!(engine.watch_task.is_some());
}
