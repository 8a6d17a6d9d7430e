//! Reloads of the settings while requests are open.

use super::*;

#[test]
fn reload_applies_all_new_settings_and_open_requests_keep_the_old_ones() {
    let endpoint =
        ScriptedEndpoint::start(|r| if r.first.contains("pay") { Reply::Hang } else { Reply::ok("ok") });
    let discovery = ScriptedDiscovery::start();
    let config = config_with_admin_api(&discovery, &listed_thirty_times(|name| endpoint.entry(name, 1)));
    let gateway = Gateway::start_with(&PROGRAM, "settings", &discovery, &config);
    let mut open_client = gateway.connect();
    open_client.send("pay");
    wait_for("the attempt", || endpoint.count() == 1);
    // From now on class pay must not be repeated, class look is removed, and class glance is new.
    let mut new_config = config.clone();
    let classes = new_config["settings"]["classes"].as_array_mut().expect("classes are not an array");
    classes[0]["name"] = "glance".into();
    classes[1]["effect"] = "single_shot".into();
    new_config["settings"]["policy_limits"]["try_limit"] = 1.into();
    write_config(&PROGRAM, "settings", &new_config.to_string());
    gateway.signal("HUP");
    wait_for("the reload of the configuration", || gateway.metric("router_conf_loaded") == Some(1));
    let glance = request("look").replace("look", "glance");
    let mut client = gateway.connect();
    client.write(glance.as_bytes());
    assert_eq!(client.read().expect("no answer").status(), 200);
    wait_for("the removal of class look", || gateway.request("look").status() == 400);
    assert_eq!(gateway.request("pay").status(), 400, "the new class pay allows no idempotency key");
    assert_eq!(gateway.request("once").status(), 200);
    endpoint.release();
    assert_eq!(
        open_client.read().expect("no answer").status(),
        200,
        "the request must keep the old settings"
    );
    let text = String::from_utf8(gateway.call("GET", "/_vars").body).expect("not UTF-8");
    assert!(
        text.contains("router_answered{group=\"glance\"} 1\n")
            && text.contains("router_answered{group=\"look\"}")
    );
}

/// Clients change to new classes some time after the configuration file does.
#[test]
fn removed_class_is_served_while_clients_may_still_use_it() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let discovery = ScriptedDiscovery::start();
    let config = config_with_admin_api(&discovery, &listed_thirty_times(|name| endpoint.entry(name, 1)));
    let gateway = Gateway::start_with(&PROGRAM, "leaving", &discovery, &config);
    let mut new_config = config.clone();
    let classes = new_config["settings"]["classes"].as_array_mut().expect("classes are not an array");
    classes[0]["name"] = "glance".into();
    classes[1]["effect"] = "free".into();
    write_config(&PROGRAM, "leaving", &new_config.to_string());
    // Ten signals in a row have the same effect as one signal.
    (0..10).for_each(|_| gateway.signal("HUP"));
    let changed = Instant::now();
    wait_for("the reload of the configuration", || gateway.metric("router_conf_loaded") > Some(0));
    let (look, pay) = (gateway.request("look").status(), gateway.request("pay").status());
    if changed.elapsed() < Duration::from_millis(1500) {
        assert_eq!((look, pay), (200, 200), "the old settings must still apply");
    }
    let safe_request = request("look").replace("look", "pay");
    let mut client = gateway.connect();
    client.write(safe_request.as_bytes());
    assert_eq!(
        client.read().expect("no answer").status(),
        200,
        "the new settings must apply from the reload on"
    );
    wait_for("the removal of the old settings", || {
        gateway.request("pay").status() == 405 && gateway.request("look").status() == 400
    });
}

#[test]
fn keyed_request_keeps_its_settings_when_its_class_becomes_unsafe() {
    // The second attempt breaks after the settings have changed: the new settings allow one attempt and no retry.
    // By the settings that the request arrived under, a third attempt is allowed.
    let (changed, attempts) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let shared = (changed.clone(), attempts.clone());
    let endpoint = ScriptedEndpoint::start(move |_| match shared.1.fetch_add(1, Ordering::SeqCst) {
        0 => Reply::Break,
        1 => {
            wait_for("the new settings", || shared.0.load(Ordering::SeqCst));
            Reply::Break
        }
        _ => Reply::ok("ok"),
    });
    let discovery = ScriptedDiscovery::start();
    let config = config_with_admin_api(&discovery, &listed_thirty_times(|name| endpoint.entry(name, 1)));
    let gateway = Gateway::start_with(&PROGRAM, "keyed", &discovery, &config);
    let mut open_client = gateway.connect();
    open_client.send("pay");
    wait_for("the second attempt", || attempts.load(Ordering::SeqCst) == 2);
    let mut new_config = config.clone();
    new_config["settings"]["classes"][1]["effect"] = "single_shot".into();
    new_config["settings"]["policy_limits"]["try_limit"] = 1.into();
    write_config(&PROGRAM, "keyed", &new_config.to_string());
    gateway.signal("HUP");
    wait_for("the reload of the configuration", || gateway.metric("router_conf_loaded") == Some(1));
    changed.store(true, Ordering::SeqCst);
    assert_eq!(open_client.read().expect("no answer").status(), 200);
    assert_eq!(endpoint.count(), 3);
}

#[test]
fn invalid_files_are_rejected_entirely() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let discovery = ScriptedDiscovery::start();
    let config = config_with_admin_api(&discovery, &[endpoint.entry("s-1", 1)]);
    let gateway = Gateway::start_with(&PROGRAM, "bad-files", &discovery, &config);
    let mut new_config = config.clone();
    new_config["settings"]["classes"][0]["name"] = "glance".into();
    let valid_file = new_config.to_string();
    let with = |change: &dyn Fn(&mut Value)| {
        let mut invalid_config = new_config.clone();
        change(&mut invalid_config);
        invalid_config.to_string()
    };
    let invalid_files = [
        String::new(),
        valid_file[..valid_file.len() / 2].to_owned(),
        valid_file[..valid_file.len() - 1].to_owned(),
        "[]".to_owned(),
        with(&|c| drop(c["settings"].as_object_mut().and_then(|s| s.remove("safety")))),
        with(&|c| drop(c["settings"]["classes"][2].as_object_mut().and_then(|s| s.remove("group")))),
        with(&|c| c["settings"]["classes"][1]["deadline_s"] = json!(-1)),
        with(&|c| c["settings"]["classes"][1]["deadline_s"] = json!("soon")),
        with(&|c| c["settings"]["policy_limits"]["try_limit"] = json!(0)),
        with(&|c| c["settings"]["classes"][1]["name"] = json!("glance")),
        valid_file.replace("50.0", "1e999"),
    ];
    for (n, text) in (1..).zip(&invalid_files) {
        write_config(&PROGRAM, "bad-files", text);
        gateway.signal("HUP");
        wait_for("the rejection of the file", || gateway.metric("router_conf_invalid") == Some(n));
    }
    assert_eq!(gateway.metric("router_conf_loaded"), Some(0));
    assert_eq!(gateway.request("look").status(), 200, "the settings must be unchanged");
    write_config(&PROGRAM, "bad-files", &valid_file);
    gateway.signal("HUP");
    wait_for("the reload of the valid file", || gateway.metric("router_conf_loaded") == Some(1));
    wait_for("the removal of class look", || gateway.request("look").status() == 400);
}

#[test]
fn thousand_reloads_do_not_grow_memory() {
    let endpoint = ScriptedEndpoint::start(|_| Reply::ok("ok"));
    let discovery = ScriptedDiscovery::start();
    let config = config_with_admin_api(&discovery, &[endpoint.entry("s-1", 1)]);
    let gateway = Gateway::start_with(&PROGRAM, "thousand", &discovery, &config);
    let reload_rounds = |rounds: std::ops::Range<u64>| {
        for n in rounds {
            let mut new_config = config.clone();
            new_config["settings"]["classes"][4]["promise_s"] = json!(1.0 + n as f64 / 1000.0);
            write_config(&PROGRAM, "thousand", &new_config.to_string());
            gateway.signal("HUP");
            wait_for("the reload of the configuration", || gateway.metric("router_conf_loaded") > Some(n));
        }
    };
    reload_rounds(0..50);
    assert_eq!(gateway.request("look").status(), 200);
    let before = gateway.peak_memory();
    reload_rounds(50..1000);
    assert_eq!(gateway.request("brief").status(), 200);
    assert!(gateway.peak_memory() < before + 1024, "{before} KiB, then {}", gateway.peak_memory());
}
