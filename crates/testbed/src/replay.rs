//! A script on loopback sockets, with real gateway processes between the rig's clients and its nodes.

use crate::discovery::{endpoint_actions, Discovery};
use crate::endpoint_models::nodes;
use crate::ledger::Rules;
use crate::live::clients::Clients;
use crate::live::discovery::LiveDiscovery;
use crate::live::endpoints::LiveEndpoint;
use crate::live::gateways::{ready, GatewayError, RunningGateway, StartGateway};
use crate::live::RunState;
use crate::report::{back, service, tallies, Counts, Lateness, Report, Runner, Sample};
use crate::script::Script;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, Instant};

/// A first try that is sent later than this is late.
const LATE: Duration = Duration::from_millis(20);
/// This often the rig looks whether it runs.
const PULSE: Duration = Duration::from_millis(5);

/// Why a script could not be played.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// A gateway.
    #[error(transparent)]
    Gateway(#[from] GatewayError),
    /// It was broken off.
    #[error("broken off")]
    Stopped,
    /// A port, or the runtime.
    #[error("the stand-ins can't be started: {0}")]
    Io(#[from] io::Error),
}

/// What the gateways' processors have spent; no part of the report, for it differs from run to run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spent {
    /// All gateways together, over the day, where it is known.
    pub gateways: Option<Duration>,
    /// The rig itself.
    pub rig: Option<Duration>,
}

/// Plays a script with so many gateways, or with as many as it names. `progress` is told of every second. Where
/// `stop` ends first, the run is broken off and its gateways are ended.
///
/// # Errors
/// Where a gateway or a stand-in can't be started, or the run was broken off. What goes wrong later stands in the
/// report.
pub fn replay(
    script: &Script,
    seed: u64,
    gateways: Option<usize>,
    start: &dyn StartGateway,
    progress: &dyn Fn(Duration, Counts, u64),
    stop: impl Future<Output = ()>,
) -> Result<(Report, Spent), ReplayError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let day = Rc::new(RunState::new(script, seed, gateways.unwrap_or(script.fleet.on_sockets)));
    LocalSet::new().block_on(&runtime, async {
        tokio::select! {
            played = play(day, seed, start, progress) => played,
            () = stop => Err(ReplayError::Stopped),
        }
    })
}

/// The configuration of a gateway, as the platform gives it.
fn config(day: &RunState, gateway: usize, discovery: &str, known: &Value) -> Value {
    let limits = &day.script.limits;
    json!({
        "name": format!("g{gateway}"),
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": format!("{:016x}", day.draws.number(crate::random_variates::Purpose::GatewaySeed, gateway as u64)),
        "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.sockets},
        "known": known,
        "settings": day.script.settings(gateway, day.gateways),
    })
}

async fn play(
    day: Rc<RunState>,
    seed: u64,
    start: &dyn StartGateway,
    progress: &dyn Fn(Duration, Counts, u64),
) -> Result<(Report, Spent), ReplayError> {
    let (ids, register_cell) = (Rc::new(Cell::new(0)), Rc::new(RefCell::new(Weak::<LiveDiscovery>::new())));
    let mut fleet = Vec::new();
    for (number, model) in nodes(&day.script, day.draws).into_iter().enumerate() {
        let register = register_cell.clone();
        let fell = Box::new(move |node, at| {
            if let Some(register) = register.borrow().upgrade() {
                register.record_crash(node, at);
            }
        });
        fleet.push(LiveEndpoint::start(number, model, day.clone(), ids.clone(), fell)?);
    }
    let register = LiveDiscovery::new(day.clone(), Discovery::new(&day.script, day.draws), fleet.clone());
    register_cell.replace(Rc::downgrade(&register));
    let mut running: Vec<Box<dyn RunningGateway>> = Vec::new();
    for g in 0..day.gateways {
        let discovery = register.listen(g).await?.to_string();
        running.push(start.start(g, config(&day, g, &discovery, &register.initial_list(g))).await?);
    }
    for (g, gateway) in running.iter().enumerate() {
        ready(g, gateway.address()).await?;
    }
    let addresses: Vec<_> = running.iter().map(|g| g.address()).collect();
    let clients = Clients::new(day.clone(), &addresses);
    let cpu =
        |running: &[Box<dyn RunningGateway>]| -> Option<Duration> { running.iter().map(|g| g.cpu()).sum() };
    let (gateways_before, rig_before) = (cpu(&running), own_cpu());
    day.clock.begin();
    let stall = Rc::new(Cell::new(Duration::ZERO));
    let pulse = spawn_local(feel_pulse(stall.clone()));
    let telling = spawn_local({
        let register = register.clone();
        async move { tokio::join!(register.update_weights(), register.record_agent_lists()) }
    });
    let doing = spawn_local(carry_out(day.clone(), fleet.clone()));
    let sampling = spawn_local(sample(day.clone(), fleet.clone()));
    let asking = clients.run();
    tokio::pin!(asking);
    let mut tick = Duration::from_secs(1);
    loop {
        tokio::select! {
            () = asking.as_mut() => break,
            () = sleep_until(day.clock.instant(tick)) => {
                progress(tick, day.counts.get(), day.in_time.get());
                tick += Duration::from_secs(1);
            }
        }
    }
    while clients.open() > 0 && day.clock.now() < day.script.end() {
        sleep(Duration::from_millis(20)).await;
    }
    clients.check_idle_connections();
    telling.abort();
    [pulse, doing, sampling].iter().for_each(|task| task.abort());
    let spent = Spent {
        gateways: cpu(&running).zip(gateways_before).map(|(now, then)| now.saturating_sub(then)),
        rig: own_cpu().zip(rig_before).map(|(now, then)| now.saturating_sub(then)),
    };
    let mut troubles = Vec::new();
    for (g, gateway) in running.iter_mut().enumerate() {
        match gateway.ended() {
            Some(how) => troubles.push(format!("gateway {g} ended during the run: {how}")),
            None => {
                troubles.extend(gateway.stop().await.err().map(|e| format!("gateway {g} did not stop: {e}")));
            }
        }
    }
    let lateness = lateness(&clients.lateness(), stall.get());
    let mut report = report(&day, seed, &clients, lateness);
    if !troubles.is_empty() {
        report.unsound = Some(troubles.join("; "));
        report.service = None;
    }
    Ok((report, spent))
}

fn report(day: &RunState, seed: u64, clients: &Clients, lateness: Lateness) -> Report {
    let ledger = day.ledger.borrow();
    let tallies = tallies(&day.script, &day.plan, &ledger, &clients.sends());
    let unsound = lateness.too_busy();
    Report {
        script: day.script.name.clone(),
        seed,
        runner: Runner::Sockets,
        gateways: day.gateways,
        nodes: day.script.fleet.nodes,
        service: unsound.is_none().then(|| service(&day.script, &tallies)),
        breaches: ledger.breaches(Rules { drain_grace: day.script.limits.drain_grace, ..Rules::sockets() }),
        unsound,
        counts: day.counts.get(),
        fresh: None,
        back_s: back(&day.script, &tallies),
        dispersion: ledger.dispersion(day.script.lasts),
        cold_peak: None,
        lateness: Some(lateness),
        timeline: day.timeline.borrow().clone(),
    }
}

async fn carry_out(day: Rc<RunState>, fleet: Vec<Rc<LiveEndpoint>>) {
    for (at, node, deed) in endpoint_actions(&day.script, day.draws) {
        sleep_until(day.clock.instant(at)).await;
        fleet[node].apply_action(deed);
    }
}

async fn sample(day: Rc<RunState>, fleet: Vec<Rc<LiveEndpoint>>) {
    let step = (day.script.lasts / 240).max(Duration::from_millis(100));
    let (mut at, mut before, mut in_time) = (step, Counts::default(), 0);
    loop {
        sleep_until(day.clock.instant(at)).await;
        let now = day.counts.get();
        let rate = |now: u64, before: u64| ((now - before) as f64 / step.as_secs_f64() * 10.0).round() / 10.0;
        let mut sample = Sample {
            at_s: at.as_secs_f64(),
            asked: rate(now.tries, before.tries),
            in_time: rate(day.in_time.get(), in_time),
            refused: rate(now.refused, before.refused),
            failed: rate(now.failed, before.failed),
            ..Sample::default()
        };
        fleet.iter().for_each(|node| node.read_model(|model| sample.see(model)));
        day.timeline.borrow_mut().push(sample);
        (before, in_time, at) = (now, day.in_time.get(), at + step);
    }
}

/// Notes the longest time for which this thread did not come round.
async fn feel_pulse(longest: Rc<Cell<Duration>>) {
    loop {
        let slept = Instant::now();
        sleep(PULSE).await;
        longest.set(longest.get().max(slept.elapsed().saturating_sub(2 * PULSE)));
    }
}

fn lateness(late: &[Duration], stall: Duration) -> Lateness {
    let mut sorted = late.to_vec();
    sorted.sort_unstable();
    let p99 = sorted.get(sorted.len().saturating_sub(1) * 99 / 100).copied().unwrap_or_default();
    let many = sorted.iter().filter(|l| **l > LATE).count();
    Lateness {
        late_share: many as f64 / sorted.len().max(1) as f64,
        p99_ms: p99.as_secs_f64() * 1e3,
        longest_stall_ms: stall.as_secs_f64() * 1e3,
    }
}

/// The time that this machine's processors have spent on this process.
fn own_cpu() -> Option<Duration> {
    let text = std::fs::read_to_string("/proc/self/schedstat").ok()?;
    text.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
}
