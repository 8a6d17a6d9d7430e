//! Soak: gateways that are told to end, reloaded and killed in series, under clients that use open connections until the kill, which
//! comes as early as the terms allow, with endpoints that hang, break off, refuse and drain. Everything is drawn from a seed, and the
//! history of the run is held against the clauses of docs/terms-audit.md.
//!
//! In CI a few fixed seeds; by hand `SOAK_SEEDS=1-50 cargo test --release --test soak -- --nocapture`.

mod clients;
mod peers;
mod world;

use clients::{Behind, Front};
use peers::{start_discovery, start_host, Listed};
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};
use weldworks_testbed::scripted::{config, write_config, Gateway, Program, ScriptedDiscovery};
use world::{Drain, World};

const PROGRAM: Program =
    Program { path: env!("CARGO_BIN_EXE_weldworks-gateway"), folder: env!("CARGO_TARGET_TMPDIR") };

const HOSTS: usize = 6;
const GATEWAYS: usize = 2;
const CLIENTS: u64 = 10;
/// How long a run lasts.
const LASTS: Duration = Duration::from_secs(7);
/// SIGKILL comes so long after the longest deadline, counted from SIGTERM.
const KILLED: Duration = Duration::from_millis(700);
/// A busy machine is late by this at the most, for runs in CI; by hand on a quiet one `SOAK_SLACK_MS` says less.
const SLACK: Duration = Duration::from_millis(400);

fn settings(world: &World) -> Value {
    let class = |name: &str, effect: &str, deadline: Duration| {
        json!({"name": name, "promise_s": deadline.as_secs_f64() * 0.8, "deadline_s": deadline.as_secs_f64(), "effect": effect,
            "group": "all", "dedup_window_s": world.window.as_secs_f64(), "importance": 1.0, "late_worth": 0.0, "streaming": false})
    };
    let mut settings = weldworks_testbed::scripted::settings();
    settings["classes"] = json!([
        class("look", "free", world.longest),
        class("pay", "guarded", world.longest),
        class("once", "single_shot", world.longest.mul_f64(0.7)),
    ]);
    settings["policy_limits"]["dial_timeout_s"] = 0.1.into();
    settings
}

/// One gateway: its processes one after another.
struct Operator<'a> {
    world: &'a World,
    front: &'a Front,
    gateway: usize,
    draw: fastrand::Rng,
    config: Value,
    discovery: SocketAddr,
    listed: &'a Mutex<Listed>,
    processes: u64,
}

impl Operator<'_> {
    fn name(&self) -> String {
        format!("soak-{}-{}", self.world.seed, self.gateway)
    }

    fn start(&mut self) -> Gateway {
        let mut register = ScriptedDiscovery::start();
        register.address = self.discovery;
        // What the process before was told of drains binds this one too.
        self.config["known"]["endpoints"] = self.listed.lock().expect("lock").entries().into();
        let gateway = Gateway::start_with(&PROGRAM, &self.name(), &register, &self.config);
        self.processes += 1;
        let process = (self.gateway as u64) << 32 | self.processes;
        let address = gateway.address.clone();
        self.front.lock().expect("lock")[self.gateway] =
            Behind { address, process, ends_since: None, up: true };
        gateway
    }

    /// A new file and its signal, several times in a row.
    fn reload(&mut self, gateway: &Gateway) {
        for _ in 0..self.draw.usize(1..5) {
            self.config["seed"] = format!("{:016x}", self.draw.u64(..)).into();
            write_config(&PROGRAM, &self.name(), &self.config.to_string());
            gateway.signal("HUP");
            sleep(Duration::from_millis(self.draw.u64(0..40)));
        }
    }

    /// Has the process end: further signals beside, hosts that hang through it, and the kill at the earliest.
    fn stop(&mut self, mut gateway: Gateway) {
        let hanging = self.draw.usize(0..=HOSTS / 2);
        for host in &self.world.hanging[..hanging] {
            host.store(true, Ordering::SeqCst);
        }
        sleep(Duration::from_millis(self.draw.u64(0..150)));
        let told = Instant::now();
        gateway.signal("TERM");
        self.front.lock().expect("lock")[self.gateway].ends_since = Some(told);
        let kill = told + self.world.longest + KILLED;
        for _ in 0..self.draw.usize(0..3) {
            sleep(Duration::from_millis(self.draw.u64(0..150)));
            if gateway.is_running() {
                gateway.signal(if self.draw.bool() { "TERM" } else { "HUP" });
            }
        }
        while gateway.is_running() && Instant::now() < kill {
            sleep(Duration::from_millis(2));
        }
        if gateway.is_running() {
            gateway.signal("KILL");
        } else if !gateway.wait().success() {
            self.world.note(format!("gateway {} has crashed", self.gateway));
        }
        for host in &self.world.hanging[..hanging] {
            host.store(false, Ordering::SeqCst);
        }
    }

    fn run(mut self) {
        while !self.world.is_over() {
            let mut gateway = self.start();
            let until = Instant::now() + Duration::from_millis(self.draw.u64(300..1500));
            if self.draw.bool() {
                self.reload(&gateway);
            }
            while Instant::now() < until && !self.world.is_over() {
                sleep(Duration::from_millis(5));
                if !gateway.is_running() {
                    self.world.note(format!("gateway {} has crashed", self.gateway));
                    break;
                }
            }
            self.stop(gateway);
        }
    }
}

/// Hosts drain for a while, one after another.
fn drain_hosts(world: &World, listed: &Mutex<Listed>) {
    let mut draw = world.draws(3 << 40);
    let list = |host: usize, leaving: bool| {
        let mut listed = listed.lock().expect("lock");
        listed.leaving[host] = leaving;
        listed.version += 1;
    };
    while !world.is_over() {
        sleep(Duration::from_millis(draw.u64(200..800)));
        let host = draw.usize(0..HOSTS);
        list(host, true);
        world.drains.lock().expect("lock").push(Drain { host, since: Instant::now(), until: None });
        let until = Instant::now() + Duration::from_millis(draw.u64(1500..3500));
        while Instant::now() < until && !world.is_over() {
            sleep(Duration::from_millis(10));
        }
        if let Some(drain) = world.drains.lock().expect("lock").last_mut() {
            drain.until = Some(Instant::now());
        }
        list(host, false);
    }
}

/// Connections that say nothing, as many as the descriptors allow and more.
fn crowd(world: &World, front: &Front) {
    let mut held: Vec<TcpStream> = Vec::new();
    while !world.is_over() {
        let address = front.lock().expect("lock").iter().find(|b| b.up).map(|b| b.address.clone());
        held.extend(address.and_then(|address| TcpStream::connect(address).ok()));
        if held.len() > 120 {
            held.clear();
        }
        sleep(Duration::from_millis(4));
    }
}

fn play(seed: u64, slack: Duration) -> (usize, usize, Vec<String>) {
    let world = Arc::new(World::new(seed, HOSTS));
    let hosts: Vec<SocketAddr> = (0..HOSTS).map(|host| start_host(&world, host)).collect();
    let listed = Arc::new(Mutex::new(Listed { hosts, leaving: vec![false; HOSTS], version: 100 }));
    let front: Front = Arc::new(Mutex::new(vec![Behind::default(); GATEWAYS]));
    scope(|runs| {
        for gateway in 0..GATEWAYS {
            let discovery = start_discovery(&listed);
            let known = listed.lock().expect("lock").entries();
            let sockets = if world.crowd { 96 } else { 512 };
            let mut config = config(&discovery.to_string(), sockets, &known);
            config["settings"] = settings(&world);
            let draw = world.draws(gateway as u64);
            let operator = Operator {
                world: &world,
                front: &front,
                gateway,
                draw,
                config,
                discovery,
                listed: &listed,
                processes: 0,
            };
            runs.spawn(|| operator.run());
        }
        runs.spawn(|| drain_hosts(&world, &listed));
        if world.crowd {
            runs.spawn(|| crowd(&world, &front));
        }
        for number in 0..CLIENTS {
            let (world, front) = (&world, &front);
            runs.spawn(move || clients::run(world, front, number));
        }
        sleep(LASTS);
        world.over.store(true, Ordering::SeqCst);
    });
    let asks = world.asks.lock().expect("lock").len();
    let attempts = world.attempts.lock().expect("lock").values().map(Vec::len).sum();
    (asks, attempts, world.violations(slack))
}

/// The seeds to play: those of `SOAK_SEEDS`, such as `1-50`, else a few.
fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return vec![1, 4, 8] };
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    (first.parse().expect("a seed")..=last.parse().expect("a seed")).collect()
}

#[test]
fn no_clause_is_broken_under_signals_in_series() {
    let slack = std::env::var("SOAK_SLACK_MS").ok().and_then(|ms| ms.parse().ok());
    let slack = slack.map_or(SLACK, Duration::from_millis);
    let mut broken = 0;
    for seed in seeds() {
        let (asks, attempts, violations) = play(seed, slack);
        println!("seed {seed}: {asks} requests, {attempts} attempts, {} violations", violations.len());
        violations.iter().take(8).for_each(|violation| println!("  {violation}"));
        assert!(asks > 100 && attempts > 50, "seed {seed}: too little happened");
        broken += violations.len();
    }
    assert_eq!(broken, 0, "violations over all seeds");
}
