//! Runs a script on loopback sockets, with real gateway processes between the test bed's clients and its stand-in endpoints.

use crate::checker::Rules;
use crate::discovery::{endpoint_actions, Discovery};
use crate::endpoint_models::endpoints;
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
    let run_state = Rc::new(RunState::new(script, seed, gateways.unwrap_or(script.fleet.on_sockets)));
    LocalSet::new().block_on(&runtime, async {
        tokio::select! {
            result = run(run_state, seed, start, progress) => result,
            () = stop => Err(ReplayError::Stopped),
        }
    })
}

/// The configuration of a gateway, in the form in which the platform provides it.
fn config(run_state: &RunState, gateway: usize, discovery_address: &str, known: &Value) -> Value {
    let limits = &run_state.script.limits;
    json!({
        "name": format!("g{gateway}"),
        "listen": "127.0.0.1:0",
        "discovery": discovery_address,
        "seed": format!("{:016x}", run_state.draws.number(crate::random_variates::Purpose::GatewaySeed, gateway as u64)),
        "limits": {"cores": 1.0, "memory_mb": limits.memory_mb, "sockets": limits.descriptors},
        "known": known,
        "settings": run_state.script.settings(gateway, run_state.gateways),
    })
}

async fn run(
    run_state: Rc<RunState>,
    seed: u64,
    start: &dyn StartGateway,
    progress: &dyn Fn(Duration, Counts, u64),
) -> Result<(Report, Spent), ReplayError> {
    let (ids, discovery_cell) = (Rc::new(Cell::new(0)), Rc::new(RefCell::new(Weak::<LiveDiscovery>::new())));
    let mut fleet = Vec::new();
    for (number, model) in endpoints(&run_state.script, run_state.draws).into_iter().enumerate() {
        let discovery = discovery_cell.clone();
        let fell = Box::new(move |endpoint, at| {
            if let Some(discovery) = discovery.borrow().upgrade() {
                discovery.record_crash(endpoint, at);
            }
        });
        fleet.push(LiveEndpoint::start(number, model, run_state.clone(), ids.clone(), fell)?);
    }
    let discovery = LiveDiscovery::new(
        run_state.clone(),
        Discovery::new(&run_state.script, run_state.draws),
        fleet.clone(),
    );
    discovery_cell.replace(Rc::downgrade(&discovery));
    let mut running: Vec<Box<dyn RunningGateway>> = Vec::new();
    for gateway in 0..run_state.gateways {
        let discovery_address = discovery.listen(gateway).await?.to_string();
        running.push(
            start
                .start(
                    gateway,
                    config(&run_state, gateway, &discovery_address, &discovery.initial_list(gateway)),
                )
                .await?,
        );
    }
    for (number, gateway) in running.iter().enumerate() {
        ready(number, gateway.address()).await?;
    }
    let addresses: Vec<_> = running.iter().map(|gateway| gateway.address()).collect();
    let clients = Clients::new(run_state.clone(), &addresses);
    let cpu = |running: &[Box<dyn RunningGateway>]| -> Option<Duration> {
        running.iter().map(|gateway| gateway.cpu()).sum()
    };
    let (gateways_before, test_bed_before) = (cpu(&running), own_cpu());
    run_state.clock.begin();
    let stall = Rc::new(Cell::new(Duration::ZERO));
    let stall_check = spawn_local(record_stalls(stall.clone()));
    let notifications = spawn_local({
        let discovery = discovery.clone();
        async move { tokio::join!(discovery.update_weights(), discovery.record_agent_lists()) }
    });
    let events = spawn_local(run_events(run_state.clone(), fleet.clone()));
    let timeline = spawn_local(record_timeline(run_state.clone(), fleet.clone()));
    let requests = clients.run();
    tokio::pin!(requests);
    let mut tick = Duration::from_secs(1);
    loop {
        tokio::select! {
            () = requests.as_mut() => break,
            () = sleep_until(run_state.clock.instant(tick)) => {
                progress(tick, run_state.counts.get(), run_state.in_time.get());
                tick += Duration::from_secs(1);
            }
        }
    }
    while clients.open() > 0 && run_state.clock.now() < run_state.script.end() {
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
    let mut report = report(&run_state, seed, &clients, lateness);
    if !problems.is_empty() {
        report.unsound = Some(problems.join("; "));
        report.service = None;
    }
    Ok((report, spent))
}

fn report(run_state: &RunState, seed: u64, clients: &Clients, lateness: Lateness) -> Report {
    let checker = run_state.checker.borrow();
    let tallies = tallies(&run_state.script, &run_state.plan, &checker, &clients.sends());
    let unsound = lateness.too_busy();
    Report {
        script: run_state.script.name.clone(),
        seed,
        runner: Runner::Sockets,
        gateways: run_state.gateways,
        nodes: run_state.script.fleet.nodes,
        service: unsound.is_none().then(|| service(&run_state.script, &tallies)),
        violations: checker
            .violations(Rules { drain_grace: run_state.script.limits.drain_grace, ..Rules::sockets() }),
        unsound,
        counts: run_state.counts.get(),
        fresh: None,
        back_s: back(&run_state.script, &tallies),
        dispersion: checker.dispersion(run_state.script.lasts),
        cold_peak: None,
        lateness: Some(lateness),
        timeline: run_state.timeline.borrow().clone(),
    }
}

async fn run_events(run_state: Rc<RunState>, fleet: Vec<Rc<LiveEndpoint>>) {
    for (at, endpoint, action) in endpoint_actions(&run_state.script, run_state.draws) {
        sleep_until(run_state.clock.instant(at)).await;
        fleet[endpoint].apply_action(action);
    }
}

async fn record_timeline(run_state: Rc<RunState>, fleet: Vec<Rc<LiveEndpoint>>) {
    let step = (run_state.script.lasts / 240).max(Duration::from_millis(100));
    let (mut at, mut before, mut in_time) = (step, Counts::default(), 0);
    loop {
        sleep_until(run_state.clock.instant(at)).await;
        let now = run_state.counts.get();
        let rate = |now: u64, before: u64| ((now - before) as f64 / step.as_secs_f64() * 10.0).round() / 10.0;
        let mut sample = Sample {
            at_s: at.as_secs_f64(),
            asked: rate(now.client_attempts, before.client_attempts),
            in_time: rate(run_state.in_time.get(), in_time),
            refused: rate(now.refused, before.refused),
            failed: rate(now.failed, before.failed),
            ..Sample::default()
        };
        fleet.iter().for_each(|endpoint| endpoint.read_model(|model| sample.see(model)));
        run_state.timeline.borrow_mut().push(sample);
        (before, in_time, at) = (now, run_state.in_time.get(), at + step);
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
