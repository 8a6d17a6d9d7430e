//! Soak test: gateways are stopped, reloaded and killed in series, under clients that use open connections until the kill.
//! The kill comes as early as the terms allow, and endpoints hang, break off, reject and drain, also in the middle of an upload.
//! Everything is drawn from a seed, and the history of the run is checked against the clauses of docs/terms-audit.md.
//!
//! CI runs a few fixed seeds; by hand: `SOAK_SEEDS=1-50 cargo test --release --test soak -- --nocapture`.

mod clients;
mod faulty_stand_ins;
mod uploads;
mod workload_history;

use clients::{Backend, ClientKind, Front};
use faulty_stand_ins::{start_discovery, start_endpoint, EndpointList};
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, LazyLock, Mutex};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};
use weldworks_testbed::run_folder::own_run_folder;
use weldworks_testbed::scripted::{config, write_config, Gateway, Program, ScriptedDiscovery};
use workload_history::{Drain, RunState, Stop};

static PROGRAM: LazyLock<Program> = LazyLock::new(|| {
    let folder = own_run_folder(env!("CARGO_TARGET_TMPDIR"));
    Program { path: env!("CARGO_BIN_EXE_weldworks-gateway"), folder }
});

const ENDPOINT_COUNT: usize = 6;
const GATEWAY_COUNT: usize = 2;
const CLIENT_COUNT: u64 = 10;
/// How many of the clients send uploads, whose bodies are too long to be buffered.
const UPLOADING_CLIENT_COUNT: u64 = 3;
/// Duration of a run with one seed.
const RUN_TIME: Duration = Duration::from_secs(7);
/// SIGKILL follows SIGTERM after the longest deadline plus this delay.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Delay that a busy machine may add at most, for runs in CI; on an idle machine `SOAK_SLACK_MS` can set a smaller value.
const DEFAULT_SLACK: Duration = Duration::from_millis(400);

fn settings(state: &RunState) -> Value {
    let class = |name: &str, effect: &str, deadline: Duration| {
        json!({"name": name, "promise_s": deadline.as_secs_f64() * 0.8, "deadline_s": deadline.as_secs_f64(), "effect": effect,
            "group": "all", "sequential": state.runs_keys_in_sequence, "dedup_window_s": state.idempotency_window.as_secs_f64(), "importance": 1.0, "late_worth": 0.0, "streaming": false})
    };
    let mut settings = weldworks_testbed::scripted::settings();
    settings["classes"] = json!([
        class("look", "free", state.longest_deadline),
        class("pay", "guarded", state.longest_deadline),
        class("once", "single_shot", state.longest_deadline.mul_f64(0.7)),
    ]);
    settings["policy_limits"]["dial_timeout_s"] = state.dial_timeout.as_secs_f64().into();
    settings
}

/// Operates one gateway: starts, reloads and stops its processes one after another.
struct Operator<'a> {
    state: &'a RunState,
    front: &'a Front,
    gateway: usize,
    random: fastrand::Rng,
    config: Value,
    discovery: SocketAddr,
    listed: &'a Mutex<EndpointList>,
    process_count: u64,
}

impl Operator<'_> {
    fn name(&self) -> String {
        format!("soak-{}-{}", self.state.seed, self.gateway)
    }

    /// The number of the current process, which no other process of the run has.
    fn process_number(&self) -> u64 {
        (self.gateway as u64) << 32 | self.process_count
    }

    fn start(&mut self) -> Gateway {
        let mut discovery = ScriptedDiscovery::start();
        discovery.address = self.discovery;
        // Drains that the previous process was notified of are binding for this process too.
        self.config["known"]["endpoints"] = self.listed.lock().expect("lock poisoned").entries().into();
        let gateway = Gateway::start_with(&PROGRAM, &self.name(), &discovery, &self.config);
        self.process_count += 1;
        let process = self.process_number();
        let address = gateway.address.clone();
        self.front.lock().expect("lock poisoned")[self.gateway] =
            Backend { address, process, stopping_since: None, up: true };
        gateway
    }

    /// Writes a new configuration file and signals the reload, up to four times in a row.
    fn reload(&mut self, gateway: &Gateway) {
        for _ in 0..self.random.usize(1..5) {
            self.config["seed"] = format!("{:016x}", self.random.u64(..)).into();
            write_config(&PROGRAM, &self.name(), &self.config.to_string());
            gateway.signal("HUP");
            sleep(Duration::from_millis(self.random.u64(0..40)));
        }
    }

    /// Stops the process: with further signals, endpoints that hang until the end, and a kill at the earliest time allowed.
    fn stop(&mut self, mut gateway: Gateway) {
        let hanging = self.random.usize(0..=ENDPOINT_COUNT / 2);
        for endpoint in &self.state.hanging[..hanging] {
            endpoint.store(true, Ordering::SeqCst);
        }
        sleep(Duration::from_millis(self.random.u64(0..150)));
        let signalled_at = Instant::now();
        gateway.signal("TERM");
        self.front.lock().expect("lock poisoned")[self.gateway].stopping_since = Some(signalled_at);
        let kill = signalled_at + self.state.longest_deadline + KILL_DELAY;
        for _ in 0..self.random.usize(0..3) {
            sleep(Duration::from_millis(self.random.u64(0..150)));
            if gateway.is_running() {
                gateway.signal(if self.random.bool() { "TERM" } else { "HUP" });
            }
        }
        while gateway.is_running() && Instant::now() < kill {
            sleep(Duration::from_millis(2));
        }
        if gateway.is_running() {
            gateway.signal("KILL");
        } else if !gateway.wait().success() {
            self.state.record_violation(format!("gateway {} crashed", self.gateway));
        }
        let stop = Stop { signalled_at, ended_at: Instant::now() };
        self.state.stops.lock().expect("lock poisoned").insert(self.process_number(), stop);
        for endpoint in &self.state.hanging[..hanging] {
            endpoint.store(false, Ordering::SeqCst);
        }
    }

    fn run(mut self) {
        while !self.state.is_over() {
            let mut gateway = self.start();
            let until = Instant::now() + Duration::from_millis(self.random.u64(300..1500));
            if self.random.bool() {
                self.reload(&gateway);
            }
            while Instant::now() < until && !self.state.is_over() {
                sleep(Duration::from_millis(5));
                if !gateway.is_running() {
                    self.state.record_violation(format!("gateway {} crashed", self.gateway));
                    break;
                }
            }
            self.stop(gateway);
        }
    }
}

/// Drains endpoints for a while, one after another.
fn drain_endpoints(state: &RunState, listed: &Mutex<EndpointList>) {
    let mut random = state.random_stream(3 << 40);
    let set_draining = |endpoint: usize, draining: bool| {
        let mut listed = listed.lock().expect("lock poisoned");
        listed.draining[endpoint] = draining;
        listed.version += 1;
    };
    while !state.is_over() {
        sleep(Duration::from_millis(random.u64(200..800)));
        let endpoint = random.usize(0..ENDPOINT_COUNT);
        set_draining(endpoint, true);
        state.drains.lock().expect("lock poisoned").push(Drain {
            endpoint,
            since: Instant::now(),
            until: None,
        });
        let until = Instant::now() + Duration::from_millis(random.u64(1500..3500));
        while Instant::now() < until && !state.is_over() {
            sleep(Duration::from_millis(10));
        }
        if let Some(drain) = state.drains.lock().expect("lock poisoned").last_mut() {
            drain.until = Some(Instant::now());
        }
        set_draining(endpoint, false);
    }
}

/// Opens silent connections, up to the descriptor limit and beyond it.
fn open_idle_connections(state: &RunState, front: &Front) {
    let mut connections: Vec<TcpStream> = Vec::new();
    while !state.is_over() {
        let address = front.lock().expect("lock poisoned").iter().find(|b| b.up).map(|b| b.address.clone());
        connections.extend(address.and_then(|address| TcpStream::connect(address).ok()));
        if connections.len() > 120 {
            connections.clear();
        }
        sleep(Duration::from_millis(4));
    }
}

fn run_seed(seed: u64, slack: Duration) -> (usize, usize, Vec<String>) {
    let state = Arc::new(RunState::new(seed, ENDPOINT_COUNT));
    let endpoints: Vec<SocketAddr> =
        (0..ENDPOINT_COUNT).map(|endpoint| start_endpoint(&state, endpoint)).collect();
    let listed =
        Arc::new(Mutex::new(EndpointList { endpoints, draining: vec![false; ENDPOINT_COUNT], version: 100 }));
    let front: Front = Arc::new(Mutex::new(vec![Backend::default(); GATEWAY_COUNT]));
    scope(|threads| {
        for gateway in 0..GATEWAY_COUNT {
            let discovery = start_discovery(&listed);
            let known = listed.lock().expect("lock poisoned").entries();
            let sockets = if state.fills_descriptors { 96 } else { 512 };
            let mut config = config(&discovery.to_string(), sockets, &known);
            config["settings"] = settings(&state);
            let random = state.random_stream(gateway as u64);
            let operator = Operator {
                state: &state,
                front: &front,
                gateway,
                random,
                config,
                discovery,
                listed: &listed,
                process_count: 0,
            };
            threads.spawn(|| operator.run());
        }
        threads.spawn(|| drain_endpoints(&state, &listed));
        if state.fills_descriptors {
            threads.spawn(|| open_idle_connections(&state, &front));
        }
        for number in 0..CLIENT_COUNT {
            let (state, front) = (&state, &front);
            let kind =
                if number < UPLOADING_CLIENT_COUNT { ClientKind::Uploading } else { ClientKind::Usual };
            threads.spawn(move || clients::run(state, front, number, kind));
        }
        sleep(RUN_TIME);
        state.over.store(true, Ordering::SeqCst);
    });
    let requests = state.requests.lock().expect("lock poisoned").len();
    let attempts = state.attempts.lock().expect("lock poisoned").values().map(Vec::len).sum();
    (requests, attempts, state.violations(slack))
}

/// The seeds to run: those of `SOAK_SEEDS`, such as `1-50`, or a few by default.
fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return vec![1, 4, 8] };
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    (first.parse().expect("invalid seed")..=last.parse().expect("invalid seed")).collect()
}

#[test]
fn no_clause_is_violated_under_repeated_signals() {
    let slack = std::env::var("SOAK_SLACK_MS").ok().and_then(|ms| ms.parse().ok());
    let slack = slack.map_or(DEFAULT_SLACK, Duration::from_millis);
    let mut violation_count = 0;
    for seed in seeds() {
        let (requests, attempts, violations) = run_seed(seed, slack);
        println!("seed {seed}: {requests} requests, {attempts} attempts, {} violations", violations.len());
        violations.iter().take(8).for_each(|violation| println!("  {violation}"));
        assert!(requests > 100 && attempts > 50, "seed {seed}: too little happened");
        violation_count += violations.len();
    }
    assert_eq!(violation_count, 0, "violations over all seeds");
}
