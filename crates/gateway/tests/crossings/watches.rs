//! Watches that fall silent, trickle, or arrive in parts.

use super::*;
use weldworks_testbed::scripted::entry;

fn start_with_pushed_lists(name: &str, discovery_stand_in: &StandIn, known_endpoints: &[Value]) -> Gateway {
    let unused_discovery = ScriptedDiscovery::start();
    let mut config = config_with_admin_api(&unused_discovery, known_endpoints);
    config["settings"]["discovery"] = "push".into();
    config["discovery"] = discovery_stand_in.address.clone().into();
    let gateway = Gateway::start_with(&PROGRAM, name, &unused_discovery, &config);
    // At the start an environment variable names another discovery; after the reload the configuration file applies.
    gateway.signal("HUP");
    gateway
}

/// A silent discovery agent is called repeatedly, as the agent may not remember an earlier call once it answers again.
#[test]
fn silent_discovery_agent_is_called_again_at_once() {
    for (n, sends_head) in [(0, false), (1, true)] {
        let discovery_stand_in = StandIn::start(move |_, mut stream| {
            if sends_head {
                let _ = stream.write_all(CHUNKED_RESPONSE_HEAD);
            }
            hold_until_closed(stream);
        });
        let _gateway = start_with_pushed_lists(&format!("silent-agent-{n}"), &discovery_stand_in, &[]);
        wait_for("a call", || discovery_stand_in.calls() > 0);
        let started_at = Instant::now();
        wait_for("ten more calls", || discovery_stand_in.calls() > 10);
        // Each call takes less than 0.3 s on an idle machine; ten calls at 4 s each would take 40 s.
        assert!(started_at.elapsed() < Duration::from_secs(20), "{:?} for ten calls", started_at.elapsed());
    }
}

/// The drain arrives on the first call that is answered; all earlier calls are received and never answered.
#[test]
fn drain_takes_effect_with_the_first_answered_call() {
    let [draining, other] = [(); 2].map(|()| ScriptedEndpoint::start(|_| Reply::ok("ok")));
    let discovery_restored = Arc::new(AtomicBool::new(false));
    let draining_list = json!({"index": 50, "snapshot": true, "endpoints": [
        entry("s-1", &draining.address.to_string(), 1, "leaving"), other.entry("s-2", 1)]});
    let is_restored = discovery_restored.clone();
    let discovery_stand_in = StandIn::start(move |_, mut stream| {
        if is_restored.load(Ordering::SeqCst) {
            let _ = stream.write_all(CHUNKED_RESPONSE_HEAD);
            let _ = write_chunk(&mut stream, format!("{draining_list}\n").as_bytes());
        }
        hold_until_closed(stream);
    });
    let gateway = start_with_pushed_lists("silent-drain", &discovery_stand_in, &[draining.entry("s-1", 1)]);
    wait_for("some calls", || discovery_stand_in.calls() > 3);
    assert_eq!(gateway.request("look").status(), 200, "the list in force is retained");
    discovery_restored.store(true, Ordering::SeqCst);
    wait_for("the new list to be in use", || gateway.request("look").status() == 200 && other.count() > 0);
    let before = draining.count();
    for _ in 0..10 {
        assert_eq!(gateway.request("look").status(), 200);
    }
    assert_eq!(draining.count(), before);
}

/// Bytes inside an incomplete list do not count as a sign of life, whether lists are pushed or polled.
#[test]
fn watch_with_an_endless_trickling_list_is_replaced() {
    for mode in ["push", "ask"] {
        let discovery_stand_in = StandIn::start(move |call, mut stream| {
            if call > 0 {
                return hold_until_closed(stream);
            }
            let _ = stream.write_all(CHUNKED_RESPONSE_HEAD);
            let _ = write_chunk(&mut stream, b"\n{\"index\": 50, \"endpoints\": [{\"name\": \"");
            while write_chunk(&mut stream, b"x").is_ok() {
                sleep(Duration::from_millis(100)); // one byte every 100 ms, far below any timeout on silence
            }
        });
        let unused_discovery = ScriptedDiscovery::start();
        let mut config = config_with_admin_api(&unused_discovery, &[]);
        config["settings"]["discovery"] = mode.into();
        config["discovery"] = discovery_stand_in.address.clone().into();
        let gateway = Gateway::start_with(&PROGRAM, &format!("trickle-{mode}"), &unused_discovery, &config);
        gateway.signal("HUP");
        wait_for("a call that replaces the trickling watch", || discovery_stand_in.calls() > 1);
    }
}

/// Lists may arrive indented, split over several chunks, or several lists in one chunk.
#[test]
fn lists_are_used_in_any_layout_and_chunking() {
    let endpoints: Vec<_> = (0..3).map(|_| ScriptedEndpoint::start(|_| Reply::ok("ok"))).collect();
    let list = |n: usize| snapshot(50 + n as u64, &[endpoints[n].entry(&format!("s-{n}"), 1)]);
    let indented = format!("{:#}\n", list(0));
    let together = format!("{}\n\n{:#}", list(1), list(2));
    let step = Arc::new(AtomicUsize::new(0));
    let step_seen = step.clone();
    let discovery_stand_in = StandIn::start(move |_, mut stream| {
        let _ = stream.write_all(CHUNKED_RESPONSE_HEAD);
        for byte in indented.as_bytes() {
            let _ = write_chunk(&mut stream, &[*byte]);
        }
        while step_seen.load(Ordering::SeqCst) == 0 {
            sleep(Duration::from_millis(5));
        }
        let _ = write_chunk(&mut stream, together.as_bytes());
        hold_until_closed(stream);
    });
    let gateway = start_with_pushed_lists("layout", &discovery_stand_in, &[]);
    wait_for("the indented list", || gateway.request("look").status() == 200);
    step.store(1, Ordering::SeqCst);
    wait_for("the last list", || gateway.request("look").status() == 200 && endpoints[2].count() > 0);
    assert!(endpoints[0].count() > 0);
    assert_eq!(discovery_stand_in.calls(), 1, "all lists must come on one watch");
}

/// With polling: a watch falls silent, then two polls are received and never answered.
/// The next poll is answered, and the drain in its list takes effect.
#[test]
fn two_silent_polls_in_a_row_do_not_hold_back_a_drain() {
    let [draining, other] = [(); 2].map(|()| ScriptedEndpoint::start(|_| Reply::ok("ok")));
    let initial_list = snapshot(49, &[draining.entry("s-1", 1)]);
    let draining_list = json!({"index": 50, "snapshot": true, "endpoints": [
        entry("s-1", &draining.address.to_string(), 1, "leaving"), other.entry("s-2", 1)]});
    let call_times = Arc::new(std::sync::Mutex::new(Vec::new()));
    let recorded = call_times.clone();
    let discovery_stand_in = StandIn::start(move |call, mut stream| {
        recorded.lock().expect("lock poisoned").push(Instant::now());
        let list = [&initial_list, &draining_list][usize::from(call > 2)];
        if call == 0 || call > 2 {
            let _ = stream.write_all(CHUNKED_RESPONSE_HEAD);
            let _ = write_chunk(&mut stream, format!("{list}\n").as_bytes());
        }
        hold_until_closed(stream);
    });
    let unused_discovery = ScriptedDiscovery::start();
    let mut config = config_with_admin_api(&unused_discovery, &[]);
    config["discovery"] = discovery_stand_in.address.clone().into();
    config["settings"]["safety"]["ask_within_s"] = 10.0.into();
    let gateway = Gateway::start_with(&PROGRAM, "two-silent", &unused_discovery, &config);
    gateway.signal("HUP");
    wait_for("the first list", || gateway.request("look").status() == 200);
    wait_for("the drain to take effect", || gateway.request("look").status() == 200 && other.count() > 0);
    let before = draining.count();
    for _ in 0..10 {
        assert_eq!(gateway.request("look").status(), 200);
    }
    assert_eq!(draining.count(), before);
    // Time between two consecutive calls: 3.5 s on an idle machine, and up to 12 s with the fault that this test guards against.
    let call_times = call_times.lock().expect("lock poisoned");
    let gaps: Vec<Duration> = call_times.windows(2).skip(1).map(|pair| pair[1] - pair[0]).collect();
    assert!(gaps.len() >= 2 && gaps.iter().all(|gap| *gap < Duration::from_secs(10)), "{gaps:?}");
}

/// Guards against a drain that is dropped unread because its list arrives together with SIGHUP and another discovery.
#[test]
fn list_that_arrives_with_the_reload_to_another_discovery_is_applied() {
    let [draining, other] = [(); 2].map(|()| ScriptedEndpoint::start(|_| Reply::ok("ok")));
    let known_endpoints = [draining.entry("s-1", 1), other.entry("s-2", 1)];
    let discovery = ScriptedDiscovery::start();
    let config = config_with_admin_api(&discovery, &known_endpoints);
    let gateway = Gateway::start_with(&PROGRAM, "reload-drain", &discovery, &config);
    discovery.push(json!({"index": 42, "snapshot": true, "endpoints": known_endpoints}));
    wait_for("both endpoints to serve", || {
        gateway.request("look").status() == 200 && draining.count() > 0 && other.count() > 0
    });
    // The new discovery is called and never answers.
    let silent_discovery = StandIn::start(|_, stream| hold_until_closed(stream));
    let mut new_config = config.clone();
    new_config["discovery"] = silent_discovery.address.clone().into();
    gateway.signal("STOP");
    let draining_entry = entry("s-1", &draining.address.to_string(), 1, "leaving");
    discovery.push(json!({"index": 43, "snapshot": false, "endpoints": [draining_entry]}));
    sleep(Duration::from_millis(100)); // the stand-in has written the list well within 100 ms
    write_config(&PROGRAM, "reload-drain", &new_config.to_string());
    gateway.signal("HUP");
    gateway.signal("CONT");
    wait_for("a call to the new discovery", || silent_discovery.calls() > 0);
    let before = draining.count();
    for _ in 0..20 {
        assert_eq!(gateway.request("look").status(), 200);
    }
    assert_eq!(draining.count(), before, "a draining endpoint must be sent nothing new");
}
