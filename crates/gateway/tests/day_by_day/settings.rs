//! New settings while requests are open.

use super::*;

#[test]
fn takes_new_settings_whole_and_open_requests_keep_the_old_ones() {
    let host =
        ScriptedEndpoint::start(|r| if r.first.contains("pay") { Reply::Hang } else { Reply::ok("ok") });
    let discovery = ScriptedDiscovery::start();
    let config = managed(&discovery, &crowd(|name| host.entry(name, 1)));
    let gateway = Gateway::start_with(&PROGRAM, "settings", &discovery, &config);
    let mut open = gateway.connect();
    open.send("pay");
    wait_for("the attempt", || host.count() == 1);
    // pay must not be repeated from now on, look is gone, glance has come.
    let mut new = config.clone();
    let classes = new["settings"]["classes"].as_array_mut().expect("classes");
    classes[0]["name"] = "glance".into();
    classes[1]["effect"] = "single_shot".into();
    new["settings"]["policy_limits"]["try_limit"] = 1.into();
    write_config(&PROGRAM, "settings", &new.to_string());
    gateway.signal("HUP");
    wait_for("the new file", || gateway.metric("router_conf_loaded") == Some(1));
    let glance = request("look").replace("look", "glance");
    let mut client = gateway.connect();
    client.write(glance.as_bytes());
    assert_eq!(client.read().expect("an answer").status(), 200);
    wait_for("the end of look", || gateway.ask("look").status() == 400);
    assert_eq!(gateway.ask("pay").status(), 400, "the new pay has no key");
    assert_eq!(gateway.ask("once").status(), 200);
    host.release();
    assert_eq!(open.read().expect("an answer").status(), 200, "it came under the old rules");
    let text = String::from_utf8(gateway.call("GET", "/_vars").body).expect("text");
    assert!(
        text.contains("router_answered{group=\"glance\"} 1\n")
            && text.contains("router_answered{group=\"look\"}")
    );
}

/// Clients turn to new classes a while after the file does.
#[test]
fn a_class_that_was_dropped_is_served_as_long_as_clients_may_use_it() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let discovery = ScriptedDiscovery::start();
    let config = managed(&discovery, &crowd(|name| host.entry(name, 1)));
    let gateway = Gateway::start_with(&PROGRAM, "leaving", &discovery, &config);
    let mut new = config.clone();
    let classes = new["settings"]["classes"].as_array_mut().expect("classes");
    classes[0]["name"] = "glance".into();
    classes[1]["effect"] = "free".into();
    write_config(&PROGRAM, "leaving", &new.to_string());
    // Ten signals in a row change nothing more than one.
    (0..10).for_each(|_| gateway.signal("HUP"));
    let changed = Instant::now();
    wait_for("the new file", || gateway.metric("router_conf_loaded") > Some(0));
    let (look, pay) = (gateway.ask("look").status(), gateway.ask("pay").status());
    if changed.elapsed() < Duration::from_millis(1500) {
        assert_eq!((look, pay), (200, 200), "by the old rules");
    }
    let free = request("look").replace("look", "pay");
    let mut client = gateway.connect();
    client.write(free.as_bytes());
    assert_eq!(client.read().expect("an answer").status(), 200, "by the new rules, all the while");
    wait_for("the end of the old rules", || {
        gateway.ask("pay").status() == 405 && gateway.ask("look").status() == 400
    });
}

#[test]
fn a_keyed_request_keeps_its_rules_when_its_class_becomes_unsafe() {
    // The second attempt breaks once the settings have changed: one attempt is all that they allow by then, and none of it again. By
    // its own rules the request may be sent a third time.
    let (changed, tries) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let seen = (changed.clone(), tries.clone());
    let host = ScriptedEndpoint::start(move |_| match seen.1.fetch_add(1, Ordering::SeqCst) {
        0 => Reply::Break,
        1 => {
            wait_for("the new settings", || seen.0.load(Ordering::SeqCst));
            Reply::Break
        }
        _ => Reply::ok("ok"),
    });
    let discovery = ScriptedDiscovery::start();
    let config = managed(&discovery, &crowd(|name| host.entry(name, 1)));
    let gateway = Gateway::start_with(&PROGRAM, "keyed", &discovery, &config);
    let mut open = gateway.connect();
    open.send("pay");
    wait_for("the second attempt", || tries.load(Ordering::SeqCst) == 2);
    let mut new = config.clone();
    new["settings"]["classes"][1]["effect"] = "single_shot".into();
    new["settings"]["policy_limits"]["try_limit"] = 1.into();
    write_config(&PROGRAM, "keyed", &new.to_string());
    gateway.signal("HUP");
    wait_for("the new file", || gateway.metric("router_conf_loaded") == Some(1));
    changed.store(true, Ordering::SeqCst);
    assert_eq!(open.read().expect("an answer").status(), 200);
    assert_eq!(host.count(), 3);
}

#[test]
fn turns_bad_files_down_whole() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let discovery = ScriptedDiscovery::start();
    let config = managed(&discovery, &[host.entry("s-1", 1)]);
    let gateway = Gateway::start_with(&PROGRAM, "bad-files", &discovery, &config);
    let mut new = config.clone();
    new["settings"]["classes"][0]["name"] = "glance".into();
    let whole = new.to_string();
    let with = |change: &dyn Fn(&mut Value)| {
        let mut bad = new.clone();
        change(&mut bad);
        bad.to_string()
    };
    let bad = [
        String::new(),
        whole[..whole.len() / 2].to_owned(),
        whole[..whole.len() - 1].to_owned(),
        "[]".to_owned(),
        with(&|c| drop(c["settings"].as_object_mut().and_then(|s| s.remove("safety")))),
        with(&|c| drop(c["settings"]["classes"][2].as_object_mut().and_then(|s| s.remove("group")))),
        with(&|c| c["settings"]["classes"][1]["deadline_s"] = json!(-1)),
        with(&|c| c["settings"]["classes"][1]["deadline_s"] = json!("soon")),
        with(&|c| c["settings"]["policy_limits"]["try_limit"] = json!(0)),
        with(&|c| c["settings"]["classes"][1]["name"] = json!("glance")),
        whole.replace("50.0", "1e999"),
    ];
    for (n, text) in (1..).zip(&bad) {
        write_config(&PROGRAM, "bad-files", text);
        gateway.signal("HUP");
        wait_for("the verdict", || gateway.metric("router_conf_invalid") == Some(n));
    }
    assert_eq!(gateway.metric("router_conf_loaded"), Some(0));
    assert_eq!(gateway.ask("look").status(), 200, "all is as before");
    write_config(&PROGRAM, "bad-files", &whole);
    gateway.signal("HUP");
    wait_for("the good file", || gateway.metric("router_conf_loaded") == Some(1));
    wait_for("the end of look", || gateway.ask("look").status() == 400);
}

#[test]
fn a_thousand_files_grow_nothing() {
    let host = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let discovery = ScriptedDiscovery::start();
    let config = managed(&discovery, &[host.entry("s-1", 1)]);
    let gateway = Gateway::start_with(&PROGRAM, "thousand", &discovery, &config);
    let turn = |rounds: std::ops::Range<u64>| {
        for n in rounds {
            let mut new = config.clone();
            new["settings"]["classes"][4]["promise_s"] = json!(1.0 + n as f64 / 1000.0);
            write_config(&PROGRAM, "thousand", &new.to_string());
            gateway.signal("HUP");
            wait_for("the file", || gateway.metric("router_conf_loaded") > Some(n));
        }
    };
    turn(0..50);
    assert_eq!(gateway.ask("look").status(), 200);
    let before = gateway.peak_memory();
    turn(50..1000);
    assert_eq!(gateway.ask("brief").status(), 200);
    assert!(gateway.peak_memory() < before + 1024, "{before} KiB, then {}", gateway.peak_memory());
}
