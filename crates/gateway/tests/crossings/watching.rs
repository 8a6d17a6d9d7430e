//! Watches that fall silent, trickle, or come in pieces.

use super::*;
use weldworks_testbed::scripted::entry;

fn pushed(name: &str, agent: &Agent, known: &[Value]) -> Gateway {
    let nobody = ScriptedDiscovery::start();
    let mut text = managed(&nobody, known);
    text["settings"]["discovery"] = "push".into();
    text["discovery"] = agent.address.clone().into();
    let gateway = Gateway::start_with(&PROGRAM, name, &nobody, &text);
    // The variable names another at the start; the file's word holds from here on.
    gateway.signal("HUP");
    gateway
}

/// An agent that says nothing is called again and again: nobody knows whether it will remember a call once it speaks.
#[test]
fn an_agent_that_is_silent_is_called_again_at_once() {
    for (n, speaks_a_head) in [(0, false), (1, true)] {
        let agent = Agent::start(move |_, mut stream| {
            if speaks_a_head {
                let _ = stream.write_all(HEAD);
            }
            hold(stream);
        });
        let _gateway = pushed(&format!("silent-agent-{n}"), &agent, &[]);
        wait_for("a call", || agent.calls() > 0);
        let begun = Instant::now();
        wait_for("ten more calls", || agent.calls() > 10);
        // Less than 0.3 s each on a machine that has time; 4 s each were 40.
        assert!(begun.elapsed() < Duration::from_secs(20), "{:?} for ten calls", begun.elapsed());
    }
}

/// The drain is told on the first call that is answered; all calls before it are heard and never answered.
#[test]
fn a_drain_is_heeded_by_the_first_call_that_is_answered() {
    let [draining, other] = [(); 2].map(|()| ScriptedEndpoint::start(|_| Reply::ok("ok")));
    let back = Arc::new(AtomicBool::new(false));
    let leaving = json!({"index": 50, "snapshot": true, "endpoints": [
        entry("s-1", &draining.address.to_string(), 1, "leaving"), other.entry("s-2", 1)]});
    let told = back.clone();
    let agent = Agent::start(move |_, mut stream| {
        if told.load(Ordering::SeqCst) {
            let _ = stream.write_all(HEAD);
            let _ = chunk(&mut stream, format!("{leaving}\n").as_bytes());
        }
        hold(stream);
    });
    let gateway = pushed("silent-drain", &agent, &[draining.entry("s-1", 1)]);
    wait_for("some calls", || agent.calls() > 3);
    assert_eq!(gateway.ask("look").status(), 200, "the list held stays in force");
    back.store(true, Ordering::SeqCst);
    wait_for("the list to be known", || gateway.ask("look").status() == 200 && other.count() > 0);
    let before = draining.count();
    for _ in 0..10 {
        assert_eq!(gateway.ask("look").status(), 200);
    }
    assert_eq!(draining.count(), before);
}

/// Bytes in the middle of a list are no sign of life, in either way of discovery.
#[test]
fn a_list_that_trickles_and_never_ends_is_left() {
    for mode in ["push", "ask"] {
        let agent = Agent::start(move |call, mut stream| {
            if call > 0 {
                return hold(stream);
            }
            let _ = stream.write_all(HEAD);
            let _ = chunk(&mut stream, b"\n{\"index\": 50, \"endpoints\": [{\"name\": \"");
            while chunk(&mut stream, b"x").is_ok() {
                sleep(Duration::from_millis(100)); // the pace of the trickle, far under any silence
            }
        });
        let nobody = ScriptedDiscovery::start();
        let mut text = managed(&nobody, &[]);
        text["settings"]["discovery"] = mode.into();
        text["discovery"] = agent.address.clone().into();
        let gateway = Gateway::start_with(&PROGRAM, &format!("trickle-{mode}"), &nobody, &text);
        gateway.signal("HUP");
        wait_for("a call in place of the one that trickles", || agent.calls() > 1);
    }
}

/// Lists may come indented, in pieces, and several in one piece.
#[test]
fn lists_are_taken_however_they_are_laid_out() {
    let hosts: Vec<_> = (0..3).map(|_| ScriptedEndpoint::start(|_| Reply::ok("ok"))).collect();
    let list = |n: usize| whole(50 + n as u64, &[hosts[n].entry(&format!("s-{n}"), 1)]);
    let indented = format!("{:#}\n", list(0));
    let together = format!("{}\n\n{:#}", list(1), list(2));
    let step = Arc::new(AtomicUsize::new(0));
    let go = step.clone();
    let agent = Agent::start(move |_, mut stream| {
        let _ = stream.write_all(HEAD);
        for byte in indented.as_bytes() {
            let _ = chunk(&mut stream, &[*byte]);
        }
        while go.load(Ordering::SeqCst) == 0 {
            sleep(Duration::from_millis(5));
        }
        let _ = chunk(&mut stream, together.as_bytes());
        hold(stream);
    });
    let gateway = pushed("layout", &agent, &[]);
    wait_for("the indented list", || gateway.ask("look").status() == 200);
    step.store(1, Ordering::SeqCst);
    wait_for("the last list", || gateway.ask("look").status() == 200 && hosts[2].count() > 0);
    assert!(hosts[0].count() > 0);
    assert_eq!(agent.calls(), 1, "one watch for all of them");
}

/// Where discovery is asked: a watch that falls silent, then two calls that are heard and never answered. The one after them is, and the
/// drain that it tells of is heeded.
#[test]
fn two_silent_calls_in_a_row_where_discovery_is_asked_keep_no_drain_back() {
    let [draining, other] = [(); 2].map(|()| ScriptedEndpoint::start(|_| Reply::ok("ok")));
    let up = whole(49, &[draining.entry("s-1", 1)]);
    let leaving = json!({"index": 50, "snapshot": true, "endpoints": [
        entry("s-1", &draining.address.to_string(), 1, "leaving"), other.entry("s-2", 1)]});
    let times = Arc::new(std::sync::Mutex::new(Vec::new()));
    let told = times.clone();
    let agent = Agent::start(move |call, mut stream| {
        told.lock().expect("lock").push(Instant::now());
        let list = [&up, &leaving][usize::from(call > 2)];
        if call == 0 || call > 2 {
            let _ = stream.write_all(HEAD);
            let _ = chunk(&mut stream, format!("{list}\n").as_bytes());
        }
        hold(stream);
    });
    let nobody = ScriptedDiscovery::start();
    let mut text = managed(&nobody, &[]);
    text["discovery"] = agent.address.clone().into();
    text["settings"]["safety"]["ask_within_s"] = 10.0.into();
    let gateway = Gateway::start_with(&PROGRAM, "two-silent", &nobody, &text);
    gateway.signal("HUP");
    wait_for("the first list", || gateway.ask("look").status() == 200);
    wait_for("the drain to be known", || gateway.ask("look").status() == 200 && other.count() > 0);
    let before = draining.count();
    for _ in 0..10 {
        assert_eq!(gateway.ask("look").status(), 200);
    }
    assert_eq!(draining.count(), before);
    // What passed between a call's being made and the next: 3.5 s on a machine that has time, and up to 12 s before.
    let times = times.lock().expect("lock");
    let apart: Vec<Duration> = times.windows(2).skip(1).map(|pair| pair[1] - pair[0]).collect();
    assert!(apart.len() >= 2 && apart.iter().all(|gap| *gap < Duration::from_secs(10)), "{apart:?}");
}
