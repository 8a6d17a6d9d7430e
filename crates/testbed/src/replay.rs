//! Runs a script on loopback sockets, with real gateway processes between the test bed's clients and its stand-in endpoints.

use crate::checker::Rules;
use crate::discovery::{endpoint_actions, Discovery};
use crate::endpoint_models::nodes;
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

/// Delay above which a first attempt counts as sent late.
const LATE_SEND_THRESHOLD: Duration = Duration::from_millis(20);
/// Interval at which the test bed checks whether it was scheduled in time.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Reason why a run on sockets failed.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// A gateway could not be started or did not become ready.
    #[error(transparent)]
    Gateway(#[from] GatewayError),
    /// The run was stopped from outside.
    #[error("the run was stopped")]
    Stopped,
    /// A socket of a stand-in, or the async runtime, could not be created.
    #[error("cannot start the stand-ins: {0}")]
    Io(#[from] io::Error),
}

/// Processor time of a run. It is not part of the report because it differs from run to run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Spent {
    /// Processor time of all gateways together during the run; `None` where it is unknown.
    pub gateways: Option<Duration>,
    /// Processor time of the test bed itself; `None` where it is unknown.
    pub test_bed: Option<Duration>,
}

/// Runs a script with this number of gateways, or with the script's own number. `progress` is called every second. When `stop`
/// completes first, the run ends and its gateways are stopped.
///
/// # Errors
/// A gateway or a stand-in can't be started, or the run was stopped. Later problems are part of the report.
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
            result = run(day, seed, start, progress) => result,
            () = stop => Err(ReplayError::Stopped),
        }
    })
}

/// The configuration of a gateway, in the form in which the platform provides it.
fn config(day: &RunState, gateway: usize, discovery: &str, known: &Value) -> Value {
    let limits = &day.script.limits;
    json!({
        "name": format!("g{gateway}"),
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": format!("{:016x}", day.draws.number(crate::random_variates::Purpose::GatewaySeed, gateway as u64)),
        "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.descriptors},
        "known": known,
        "settings": day.script.settings(gateway, day.gateways),
    })
}

async fn run(
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
    for gateway in 0..day.gateways {
        let discovery = register.listen(gateway).await?.to_string();
        running.push(
            start.start(gateway, config(&day, gateway, &discovery, &register.initial_list(gateway))).await?,
        );
    }
    for (number, gateway) in running.iter().enumerate() {
        ready(number, gateway.address()).await?;
    }
    let addresses: Vec<_> = running.iter().map(|gateway| gateway.address()).collect();
    let clients = Clients::new(day.clone(), &addresses);
    let cpu = |running: &[Box<dyn RunningGateway>]| -> Option<Duration> {
        running.iter().map(|gateway| gateway.cpu()).sum()
    };
    let (gateways_before, test_bed_before) = (cpu(&running), own_cpu());
    day.clock.begin();
    let stall = Rc::new(Cell::new(Duration::ZERO));
    let stall_check = spawn_local(record_stalls(stall.clone()));
    let notifications = spawn_local({
        let register = register.clone();
        async move { tokio::join!(register.update_weights(), register.record_agent_lists()) }
    });
    let events = spawn_local(run_events(day.clone(), fleet.clone()));
    let timeline = spawn_local(record_timeline(day.clone(), fleet.clone()));
    let requests = clients.run();
    tokio::pin!(requests);
    let mut tick = Duration::from_secs(1);
    loop {
        tokio::select! {
            () = requests.as_mut() => break,
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
    notifications.abort();
    [stall_check, events, timeline].iter().for_each(|task| task.abort());
    let spent = Spent {
        gateways: cpu(&running).zip(gateways_before).map(|(now, then)| now.saturating_sub(then)),
        test_bed: own_cpu().zip(test_bed_before).map(|(now, then)| now.saturating_sub(then)),
    };
    let mut problems = Vec::new();
    for (number, gateway) in running.iter_mut().enumerate() {
        match gateway.ended() {
            Some(how) => problems.push(format!("gateway {number} ended during the run: {how}")),
            None => {
                problems.extend(
                    gateway.stop().await.err().map(|error| format!("gateway {number} did not stop: {error}")),
                );
            }
        }
    }
    let lateness = lateness(&clients.lateness(), stall.get());
    let mut report = report(&day, seed, &clients, lateness);
    if !problems.is_empty() {
        report.unsound = Some(problems.join("; "));
        report.service = None;
    }
    Ok((report, spent))
}

fn report(day: &RunState, seed: u64, clients: &Clients, lateness: Lateness) -> Report {
    let checker = day.checker.borrow();
    let tallies = tallies(&day.script, &day.plan, &checker, &clients.sends());
    let unsound = lateness.too_busy();
    Report {
        script: day.script.name.clone(),
        seed,
        runner: Runner::Sockets,
        gateways: day.gateways,
        nodes: day.script.fleet.nodes,
        service: unsound.is_none().then(|| service(&day.script, &tallies)),
        violations: checker
            .violations(Rules { drain_grace: day.script.limits.drain_grace, ..Rules::sockets() }),
        unsound,
        counts: day.counts.get(),
        fresh: None,
        back_s: back(&day.script, &tallies),
        dispersion: checker.dispersion(day.script.lasts),
        cold_peak: None,
        lateness: Some(lateness),
        timeline: day.timeline.borrow().clone(),
    }
}

async fn run_events(day: Rc<RunState>, fleet: Vec<Rc<LiveEndpoint>>) {
    for (at, node, deed) in endpoint_actions(&day.script, day.draws) {
        sleep_until(day.clock.instant(at)).await;
        fleet[node].apply_action(deed);
    }
}

async fn record_timeline(day: Rc<RunState>, fleet: Vec<Rc<LiveEndpoint>>) {
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

/// Records the longest time for which this thread was not scheduled.
async fn record_stalls(longest: Rc<Cell<Duration>>) {
    loop {
        let slept_at = Instant::now();
        sleep(STALL_CHECK_INTERVAL).await;
        longest.set(longest.get().max(slept_at.elapsed().saturating_sub(2 * STALL_CHECK_INTERVAL)));
    }
}

fn lateness(delays: &[Duration], stall: Duration) -> Lateness {
    let mut sorted = delays.to_vec();
    sorted.sort_unstable();
    let p99 = sorted.get(sorted.len().saturating_sub(1) * 99 / 100).copied().unwrap_or_default();
    let late_sends = sorted.iter().filter(|delay| **delay > LATE_SEND_THRESHOLD).count();
    Lateness {
        late_share: late_sends as f64 / sorted.len().max(1) as f64,
        p99_ms: p99.as_secs_f64() * 1e3,
        longest_stall_ms: stall.as_secs_f64() * 1e3,
    }
}

/// Processor time that this process has used; `None` where the kernel does not report it.
fn own_cpu() -> Option<Duration> {
    let text = std::fs::read_to_string("/proc/self/schedstat").ok()?;
    text.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
}
