//! Fault scenarios on real gateway processes: each link goes through a relay; processes are killed, paused, continued and replaced on a
//! timeline; stand-in endpoints, discoveries and clients surround the gateways. The audit logs are checked against what these stand-ins
//! observed.

use super::history::{History, Observation};
use super::relay::{LinkDirection, Relay};
use super::script::{Fault, FaultKind, Script, Target};
use super::stand_ins::{self, EndpointLists, Observations, TestClock};
use crate::scripted;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use serde::Serialize;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, timeout, Instant};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use weldworks_fleet::node::SessionState;
use weldworks_fleet::protocol::{self, AdminQuery, Caller, Frame, Hello, MAX_FRAME_BYTES};
use weldworks_fleet::state_machine::{FenceReason, VersionLag};

const FLEET_NAME: &str = "whole";
pub(super) const ENDPOINT_COUNT: usize = 4;
/// How long a client waits for a response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval at which the gateways' fleet status is polled.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(150);
/// Limit for the start of the fleet and for the shutdown of a process, long enough for slow machines.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(60);
/// Tolerance for observations: a log line or status is read up to this long after the state that it describes. Smaller differences are no
/// violation.
pub(super) const OBSERVATION_TOLERANCE: Duration = Duration::from_millis(400);

/// Result of a run on real processes.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the script.
    pub script: String,
    /// Seed of the run.
    pub seed: u64,
    /// Violated rules, as text.
    #[serde(rename = "breaches")]
    pub violations: Vec<String>,
    /// Figures of the run.
    pub figures: Figures,
}

/// Figures of a run on real processes.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Number of requests that clients sent.
    #[serde(rename = "asked")]
    pub requests_sent: usize,
    /// Fraction of the requests that were served.
    #[serde(rename = "served")]
    pub served_fraction: f64,
    /// Lowest fraction of requests served within one second, over all gateways.
    #[serde(rename = "worst_second")]
    pub worst_second_served_fraction: f64,
    /// Requests without a response from gateways that no fault affected.
    #[serde(rename = "unanswered")]
    pub unanswered_requests: usize,
    /// Time from a gateway's discovery being frozen until the gateway is fenced, in seconds, one value for each case.
    #[serde(rename = "to_shut_out_s")]
    pub time_to_fence_s: Vec<f64>,
    /// Time from a gateway's discovery working again until the gateway is unfenced, in seconds, one value for each case.
    #[serde(rename = "to_let_in_s")]
    pub time_to_unfence_s: Vec<f64>,
    /// Longest time without a known leader, in seconds, as polled every 150 ms.
    pub leaderless_s: f64,
    /// Number of forwarded requests that were looked up in the audit.
    #[serde(rename = "audited")]
    pub audited_steps: usize,
    /// Number of forwarded requests that were looked up in the audit of an ended process.
    #[serde(rename = "audited_ended")]
    pub audited_steps_of_ended: usize,
    /// CPU use of a process from its start to the end of the run, in hundredths of a core: median and maximum, first of the voters and
    /// then of the other gateways.
    pub cpu_percent: [(f64, f64); 2],
    /// Resident memory of a process at the end of the run, in MiB: median and maximum.
    pub memory_mib: (f64, f64),
    /// Time from the last that the audit knows of a killed process to the kill, in seconds, one value for each kill.
    #[serde(rename = "unknown_s")]
    pub unknown_before_kill_s: Vec<f64>,
}

pub(super) struct Process {
    child: Child,
    process_number: usize,
    started_at: Instant,
}

/// When a process was started, and when it began to accept clients.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProcessTimes {
    pub(super) started_at: Duration,
    pub(super) serving_since: Option<Duration>,
}

/// The kill of a gateway's process.
#[derive(Clone, Copy, Debug)]
pub(super) struct Kill {
    pub(super) gateway: usize,
    /// Number of the killed process, counted from the gateway's first.
    pub(super) process: usize,
    pub(super) at: Duration,
}

pub(super) struct Gateway {
    pub(super) settings_path: PathBuf,
    pub(super) config_path: PathBuf,
    pub(super) process: RefCell<Option<Process>>,
    /// The times of all processes of the gateway, the first process first.
    pub(super) process_times: RefCell<Vec<ProcessTimes>>,
    pub(super) paused: Cell<bool>,
    /// Address at which the gateway's process accepts links of other gateways.
    pub(super) link_address: Rc<Cell<Option<SocketAddr>>>,
    /// Address at which the gateway accepts clients.
    pub(super) client_address: Rc<Cell<Option<SocketAddr>>>,
    pub(super) frozen_list_index: Rc<Cell<Option<u64>>>,
    /// Times in which a fault affected the gateway: start and end.
    pub(super) fault_periods: RefCell<Vec<(Duration, Duration)>>,
    /// When the gateway's present process started to accept clients.
    pub(super) serving_since: Cell<Duration>,
}

pub(super) struct ScenarioRun {
    pub(super) script: Script,
    pub(super) program: PathBuf,
    pub(super) clock: TestClock,
    pub(super) gateways: Vec<Gateway>,
    /// The relay of each link, by the numbers of the gateway that opens the link and of the one that accepts it.
    pub(super) relays: BTreeMap<(usize, usize), Relay>,
    pub(super) lists: Rc<EndpointLists>,
    pub(super) observations: Rc<Observations>,
    pub(super) history: RefCell<History>,
    pub(super) leader: Cell<Option<usize>>,
    pub(super) leaderless_time: Cell<(Option<Duration>, Duration)>,
    pub(super) fault_targets: RefCell<BTreeMap<usize, Vec<usize>>>,
    pub(super) discovery_frozen_at: RefCell<BTreeMap<usize, Duration>>,
    pub(super) discovery_unfrozen_at: RefCell<BTreeMap<usize, Duration>>,
    pub(super) figures: RefCell<Figures>,
    pub(super) logs: RefCell<Vec<String>>,
    pub(super) drained_at: Cell<Option<Duration>>,
    /// Gateways whose configuration file was rewritten, each with whether the new file is invalid.
    pub(super) rewritten_configs: RefCell<BTreeMap<usize, bool>>,
    pub(super) kills: RefCell<Vec<Kill>>,
    /// Number of faults that are replacing processes.
    pub(super) active_replacements: Cell<usize>,
    /// Wall clock time at the start of `clock`, in milliseconds since the Unix epoch.
    pub(super) started_unix_ms: u64,
}

fn gateway_name(gateway: usize) -> String {
    format!("g{gateway:03}")
}

/// Runs a script with the given gateway program; settings, configuration and state are written to the folder. Returns the report, and the
/// history and logs of all gateways as lines of text.
///
/// # Errors
/// If a gateway process or a stand-in can't be started, or the fleet is not up in time.
pub fn run_script(
    script: &Script,
    seed: u64,
    program: &Path,
    folder: &Path,
) -> io::Result<(Report, Vec<String>)> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let run = Rc::new(ScenarioRun::prepare(script, seed, program, folder).await?);
        run.clone().run().await?;
        run.measure_processes();
        let violations = run.check().await;
        let figures = run.figures.borrow().clone();
        let report = Report { script: script.name.clone(), seed, violations, figures };
        run.stop_processes().await;
        let history_text = run.history.borrow().to_text();
        let mut lines: Vec<String> = history_text.lines().map(str::to_owned).collect();
        lines.extend(run.logs.borrow().iter().cloned());
        Ok((report, lines))
    })
}

impl ScenarioRun {
    async fn prepare(script: &Script, seed: u64, program: &Path, folder: &Path) -> io::Result<ScenarioRun> {
        let clock = TestClock(Instant::now());
        let started_unix_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let observations = Rc::new(Observations::default());
        let mut endpoints = Vec::new();
        for endpoint in 0..ENDPOINT_COUNT {
            endpoints.push(stand_ins::start_endpoint(endpoint, clock, observations.clone()).await?);
        }
        let lists = EndpointLists::new(endpoints);
        let mut relays = BTreeMap::new();
        for from in 0..script.gateway_count {
            for to in 0..script.voter_count {
                // Of two voters the one with the lower number opens the link.
                if from != to && (from >= script.voter_count || from < to) {
                    relays.insert((from, to), Relay::start(seed ^ ((from * 1000 + to) as u64)).await?);
                }
            }
        }
        let mut gateways = Vec::new();
        for gateway in 0..script.gateway_count {
            let frozen_list_index = Rc::new(Cell::new(None));
            let discovery = stand_ins::start_discovery(
                gateway,
                lists.clone(),
                frozen_list_index.clone(),
                clock,
                observations.clone(),
            )
            .await?;
            let (settings_path, config_path) =
                (folder.join(format!("g{gateway}.toml")), folder.join(format!("g{gateway}.json")));
            std::fs::write(&settings_path, settings_text(script, gateway, &relays, folder))?;
            let mut config = scripted::config(&discovery.to_string(), 256 + script.gateway_count, &[]);
            config["known"] = lists.snapshot(1);
            config["name"] = gateway_name(gateway).into();
            std::fs::write(&config_path, config.to_string())?;
            gateways.push(Gateway {
                settings_path,
                config_path,
                process: RefCell::new(None),
                process_times: RefCell::default(),
                paused: Cell::new(false),
                link_address: Rc::default(),
                client_address: Rc::default(),
                frozen_list_index,
                fault_periods: RefCell::default(),
                serving_since: Cell::default(),
            });
        }
        Ok(ScenarioRun {
            script: script.clone(),
            program: program.to_path_buf(),
            clock,
            gateways,
            relays,
            lists,
            observations,
            history: RefCell::default(),
            leader: Cell::new(None),
            leaderless_time: Cell::default(),
            fault_targets: RefCell::default(),
            discovery_frozen_at: RefCell::default(),
            discovery_unfrozen_at: RefCell::default(),
            figures: RefCell::default(),
            logs: RefCell::default(),
            drained_at: Cell::new(None),
            rewritten_configs: RefCell::default(),
            kills: RefCell::default(),
            active_replacements: Cell::default(),
            started_unix_ms,
        })
    }

    /// Starts a gateway's process and reads its log until the process ends.
    fn start_process(self: &Rc<Self>, gateway_number: usize) -> io::Result<()> {
        let gateway = &self.gateways[gateway_number];
        // The shell ignores SIGXFSZ, so that a write beyond the limit on file size fails, as on a full disk, and does not end the
        // process.
        let mut command = Command::new("sh");
        command
            .args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""])
            .arg(&self.program)
            .arg("--settings")
            .arg(&gateway.settings_path)
            .args(["run", "--fleet"]);
        command
            .env("ROUTER_CONFIG", &gateway.config_path)
            .env_remove("ROUTER_LISTEN")
            .env_remove("ROUTER_DISCOVERY");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        let started_at = self.clock.now();
        let mut child = command.spawn()?;
        let process_number = gateway.process_times.borrow().len();
        gateway.process_times.borrow_mut().push(ProcessTimes { started_at, serving_since: None });
        let log = child.stderr.take();
        gateway.process.replace(Some(Process { child, process_number, started_at: Instant::now() }));
        let run = self.clone();
        spawn_local(async move {
            let Some(log) = log else { return };
            let mut lines = BufReader::new(log).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                run.read_log_line(gateway_number, process_number, &line);
            }
        });
        Ok(())
    }

    /// Whether this is the gateway's present process. Lines of a killed process may be read after its kill, and nothing listens at their
    /// addresses.
    fn is_running(&self, gateway: usize, process_number: usize) -> bool {
        let present_process = self.gateways[gateway].process.borrow();
        present_process.as_ref().is_some_and(|process| process.process_number == process_number)
    }

    fn set_link_address(&self, gateway: usize, address: SocketAddr) {
        self.gateways[gateway].link_address.set(Some(address));
        for ((_, to), relay) in &self.relays {
            if *to == gateway {
                relay.target.set(Some(address));
            }
        }
    }

    /// Reads a line of a gateway's log and updates the addresses and the history.
    fn read_log_line(&self, gateway_number: usize, process_number: usize, line: &str) {
        let (at, gateway) = (self.clock.now(), &self.gateways[gateway_number]);
        self.logs
            .borrow_mut()
            .push(format!("{:>9.3} g{gateway_number}.{process_number} log: {line}", at.as_secs_f64()));
        let address = |marker: &str| {
            line.split_once(marker).and_then(|(_, rest)| rest.trim().parse::<SocketAddr>().ok())
        };
        if let Some(link_address) = address("the link listens address=") {
            if self.is_running(gateway_number, process_number) {
                self.set_link_address(gateway_number, link_address);
            }
        } else if let Some(client_address) = address(" listening address=") {
            gateway.process_times.borrow_mut()[process_number].serving_since = Some(at);
            if self.is_running(gateway_number, process_number) {
                gateway.serving_since.set(at);
                gateway.client_address.set(Some(client_address));
            }
        } else if let Some((_, state_text)) = line.split_once("fleet standing=") {
            let state_text = state_text.split(" takes_clients=").next().unwrap_or_default().trim();
            let session_state = match state_text.strip_prefix("in session ") {
                Some(session) => SessionState::InSession(session.parse().unwrap_or_default()),
                None if state_text == "alone" => SessionState::WithoutSession,
                None => SessionState::Fenced(FenceReason::Lagging(VersionLag::Build {
                    own: String::new(),
                    required: state_text.to_owned(),
                })),
            };
            if matches!(session_state, SessionState::Fenced(_)) {
                if let Some(frozen_at) = self.discovery_frozen_at.borrow_mut().remove(&gateway_number) {
                    self.figures.borrow_mut().time_to_fence_s.push((at - frozen_at).as_secs_f64());
                }
            } else if let Some(unfrozen_at) = self.discovery_unfrozen_at.borrow_mut().remove(&gateway_number)
            {
                self.figures.borrow_mut().time_to_unfence_s.push((at - unfrozen_at).as_secs_f64());
            }
            self.record(gateway_number, process_number, Observation::SessionStateChanged(session_state));
        } else if let Some(session) = session_in_line(line, "expired") {
            self.record(gateway_number, process_number, Observation::SessionExpired(session));
        } else if let Some(session) = session_in_line(line, "fenced") {
            self.record(gateway_number, process_number, Observation::SessionFenced(session));
        }
    }

    fn record(&self, gateway: usize, process_number: usize, observation: Observation) {
        self.history.borrow_mut().append(self.clock.now(), gateway, process_number, observation);
    }

    async fn run(self: Rc<Self>) -> io::Result<()> {
        for gateway in 0..self.gateways.len() {
            self.start_process(gateway)?;
        }
        let launched_at = Instant::now();
        while !self.all_in_session().await {
            if launched_at.elapsed() > PROCESS_TIMEOUT {
                let logs = self.logs.borrow().join("\n");
                return Err(io::Error::other(format!("not all gateways have a session in time:\n{logs}")));
            }
            sleep(STATUS_POLL_INTERVAL).await;
        }
        for (number, gateway) in self.gateways.iter().enumerate() {
            let (clock, observations) = (self.clock, self.observations.clone());
            spawn_local(stand_ins::run_client(
                number,
                gateway.client_address.clone(),
                self.script.request_interval,
                CLIENT_TIMEOUT,
                clock,
                observations,
            ));
        }
        let leader_polling = spawn_local(self.clone().poll_leader());
        let timeline_start = Instant::now();
        let publishing = {
            let run = self.clone();
            spawn_local(async move {
                loop {
                    sleep(run.script.list_interval).await;
                    let drain_due = run
                        .script
                        .drain_from
                        .filter(|at| run.drained_at.get().is_none() && timeline_start.elapsed() >= *at);
                    run.lists.publish_next(drain_due.map(|_| ENDPOINT_COUNT - 1));
                    if drain_due.is_some() {
                        run.drained_at.set(Some(run.clock.now()));
                    }
                }
            })
        };
        let mut transitions: Vec<(Duration, usize, bool)> = Vec::new();
        for (index, fault) in self.script.faults.iter().enumerate() {
            transitions.push((fault.start, index, true));
            transitions.extend(fault.end().map(|end| (end, index, false)));
        }
        transitions.sort_by_key(|(at, index, is_start)| (*at, *index, !*is_start));
        for (at, index, is_start) in transitions {
            tokio::time::sleep_until(timeline_start + at).await;
            let fault = self.script.faults[index].clone();
            if is_start {
                self.start_fault(index, &fault)?;
            } else {
                self.end_fault(index, &fault)?;
            }
        }
        tokio::time::sleep_until(timeline_start + self.script.duration).await;
        // A slow machine gets more time to recover from the last fault; the checks use the state after that.
        let recovery_start = Instant::now();
        let is_recovering = async || self.active_replacements.get() > 0 || !self.all_in_session().await;
        while is_recovering().await && recovery_start.elapsed() < PROCESS_TIMEOUT / 3 {
            sleep(STATUS_POLL_INTERVAL).await;
        }
        publishing.abort();
        leader_polling.abort();
        Ok(())
    }

    /// Polls the voters until the run ends, to find out which one leads and how long there is no leader.
    async fn poll_leader(self: Rc<Self>) {
        loop {
            let mut leader = None;
            for gateway in 0..self.script.voter_count {
                if self.gateways[gateway].paused.get() {
                    continue;
                }
                let Some(status) = self.query_admin(gateway, AdminQuery::Status).await else { continue };
                if status["leader"] == gateway_name(gateway) {
                    leader = Some(gateway);
                }
            }
            let (leaderless_since, longest) = self.leaderless_time.get();
            match leader {
                Some(_) => {
                    let leaderless_for = leaderless_since
                        .map_or(Duration::ZERO, |leaderless_since| self.clock.now() - leaderless_since);
                    self.leaderless_time.set((None, longest.max(leaderless_for)));
                    self.leader.set(leader);
                }
                None => self.leaderless_time.set((leaderless_since.or(Some(self.clock.now())), longest)),
            }
            sleep(STATUS_POLL_INTERVAL).await;
        }
    }

    async fn all_in_session(&self) -> bool {
        for gateway in 0..self.gateways.len() {
            let Some(status) = self.query_admin(gateway, AdminQuery::Status).await else { return false };
            if !status["standing"].as_str().is_some_and(|state| state.starts_with("in session")) {
                return false;
            }
        }
        true
    }

    /// Sends one gateway a query of the admin API, directly to its own address and not through a relay.
    pub(super) async fn query_admin(&self, gateway: usize, query: AdminQuery) -> Option<Value> {
        let address = self.gateways[gateway].link_address.get()?;
        let exchange = async {
            let stream = TcpStream::connect(address).await.ok()?;
            let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
            let mut framed = Framed::new(stream, codec);
            let hello = Hello::new(FLEET_NAME, Caller::Administrator, &gateway_name(gateway));
            framed.send(Bytes::from(protocol::encode_frame(&hello)?)).await.ok()?;
            framed.send(Bytes::from(protocol::encode_frame(&Frame::AdminQuery(query))?)).await.ok()?;
            framed.next().await?.ok()?;
            let response = framed.next().await?.ok()?;
            let Ok(Frame::AdminAnswer(text)) = protocol::decode_frame(&response) else { return None };
            let mut answer: Value = serde_json::from_str(&text).ok()?;
            Some(answer["answer"].take())
        };
        timeout(Duration::from_secs(2), exchange).await.ok().flatten()
    }

    /// Measures CPU use and memory of the running processes.
    fn measure_processes(&self) {
        let mut cpu = [Vec::new(), Vec::new()];
        let mut memory = Vec::new();
        for (number, gateway) in self.gateways.iter().enumerate() {
            let running = gateway.process.borrow();
            let Some((process, process_id)) = running
                .as_ref()
                .and_then(|running_process| Some((running_process, running_process.child.id()?)))
            else {
                continue;
            };
            let read_proc_file = |file: &str| {
                std::fs::read_to_string(format!("/proc/{process_id}/{file}")).unwrap_or_default()
            };
            let stat = read_proc_file("stat");
            let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
            let cpu_ticks = |index: usize| {
                fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or_default()
            };
            // The kernel reports CPU times in hundredths of a second.
            let percent = (cpu_ticks(11) + cpu_ticks(12)) / process.started_at.elapsed().as_secs_f64();
            cpu[usize::from(number >= self.script.voter_count)].push(percent);
            let pages = read_proc_file("statm")
                .split(' ')
                .nth(1)
                .and_then(|field| field.parse::<f64>().ok())
                .unwrap_or_default();
            memory.push(pages * 4096.0 / f64::from(1 << 20));
        }
        let median_and_max = |mut values: Vec<f64>| {
            values.sort_by(f64::total_cmp);
            (
                values.get(values.len() / 2).copied().unwrap_or_default(),
                values.last().copied().unwrap_or_default(),
            )
        };
        let mut figures = self.figures.borrow_mut();
        figures.cpu_percent = cpu.map(median_and_max);
        figures.memory_mib = median_and_max(memory);
    }

    fn targets_of(&self, fault_index: usize, fault: &Fault) -> Vec<usize> {
        let mut known_targets = self.fault_targets.borrow_mut();
        let targets = known_targets.entry(fault_index).or_insert_with(|| match &fault.target {
            Target::Gateways(gateways) => gateways.clone(),
            Target::Leader => self.leader.get().into_iter().collect(),
            Target::All => (0..self.gateways.len()).collect(),
        });
        targets.clone()
    }

    /// The relays of the links that a fault affects, each with the direction away from the fault's target and the direction toward the
    /// target.
    fn affected_links(
        &self,
        fault_index: usize,
        fault: &Fault,
    ) -> Vec<(&Relay, Rc<LinkDirection>, Rc<LinkDirection>)> {
        let targets = self.targets_of(fault_index, fault);
        let is_on_other_side = |gateway: usize| {
            fault
                .other_side
                .as_ref()
                .map_or(!targets.contains(&gateway), |other_side| other_side.contains(&gateway))
        };
        let mut affected = Vec::new();
        for ((from, to), relay) in &self.relays {
            if targets.contains(from) && is_on_other_side(*to) {
                affected.push((relay, relay.forward.clone(), relay.reverse.clone()));
            } else if targets.contains(to) && is_on_other_side(*from) {
                affected.push((relay, relay.reverse.clone(), relay.forward.clone()));
            }
        }
        affected
    }

    fn signal(&self, gateway: usize, signal: Signal) {
        let running = self.gateways[gateway].process.borrow();
        let process_id = running
            .as_ref()
            .and_then(|running_process| running_process.child.id())
            .and_then(|process_id| i32::try_from(process_id).ok());
        if let Some(process) = process_id.and_then(Pid::from_raw) {
            let _ = kill_process(process, signal); // the process may have ended already
        }
    }

    fn record_fault_period(&self, gateway: usize, start: Duration, end: Duration) {
        self.gateways[gateway].fault_periods.borrow_mut().push((start, end));
    }

    fn start_fault(self: &Rc<Self>, fault_index: usize, fault: &Fault) -> io::Result<()> {
        let now = self.clock.now();
        let recovered_by = now + fault.duration.unwrap_or(self.script.duration) + Duration::from_secs(3);
        match &fault.kind {
            FaultKind::KillProcess => {
                for gateway in self.targets_of(fault_index, fault) {
                    self.record_fault_period(gateway, now, recovered_by);
                    self.kill_gateway(gateway);
                }
            }
            FaultKind::PauseProcess => {
                for gateway in self.targets_of(fault_index, fault) {
                    self.record_fault_period(gateway, now, recovered_by);
                    self.gateways[gateway].paused.set(true);
                    self.signal(gateway, Signal::STOP);
                }
            }
            FaultKind::CutLinks { one_way } => {
                for (_, away, toward) in self.affected_links(fault_index, fault) {
                    away.active_cuts.set(away.active_cuts.get() + 1);
                    if !one_way {
                        toward.active_cuts.set(toward.active_cuts.get() + 1);
                    }
                }
            }
            FaultKind::DelayLinks { delay_range } => {
                for (_, away, toward) in self.affected_links(fault_index, fault) {
                    away.delay_ranges.borrow_mut().push(*delay_range);
                    toward.delay_ranges.borrow_mut().push(*delay_range);
                }
            }
            FaultKind::FlapLinks { interval } => {
                let (run, fault, interval) = (self.clone(), fault.clone(), *interval);
                spawn_local(async move {
                    let end = Instant::now() + fault.duration.unwrap_or(run.script.duration);
                    while Instant::now() < end {
                        for (relay, ..) in run.affected_links(fault_index, &fault) {
                            relay.reset();
                        }
                        sleep(interval).await;
                    }
                });
            }
            FaultKind::FreezeDiscovery => {
                for gateway in self.targets_of(fault_index, fault) {
                    self.gateways[gateway].frozen_list_index.set(Some(self.lists.newest_index()));
                    self.discovery_frozen_at.borrow_mut().insert(gateway, now);
                    self.record_fault_period(gateway, now, recovered_by);
                }
            }
            FaultKind::LimitBandwidth { bytes_per_s } => {
                for (_, away, toward) in self.affected_links(fault_index, fault) {
                    away.max_bytes_per_s.set(Some(*bytes_per_s));
                    toward.max_bytes_per_s.set(Some(*bytes_per_s));
                }
            }
            FaultKind::MoveDiscovery => {
                for gateway in self.targets_of(fault_index, fault) {
                    spawn_local(self.clone().move_discovery(gateway));
                }
            }
            FaultKind::RewriteConfig { is_invalid } => {
                for gateway in self.targets_of(fault_index, fault) {
                    self.rewritten_configs.borrow_mut().insert(gateway, *is_invalid);
                    self.rewrite_config(gateway, |config| {
                        let settings = &mut config["settings"];
                        settings["max_attempts"] =
                            (settings["max_attempts"].as_u64().unwrap_or(2) + 1).into();
                        if *is_invalid {
                            *settings = Value::Null;
                        }
                    })?;
                }
            }
            FaultKind::FillDisk => {
                for gateway in self.targets_of(fault_index, fault) {
                    self.limit_file_size(gateway, Some(1));
                }
            }
            FaultKind::ReplaceProcesses { interval } => {
                let gateways = self.targets_of(fault_index, fault);
                spawn_local(self.clone().replace_processes(gateways, *interval));
            }
        }
        Ok(())
    }

    fn end_fault(self: &Rc<Self>, fault_index: usize, fault: &Fault) -> io::Result<()> {
        match &fault.kind {
            FaultKind::KillProcess => {
                for gateway in self.targets_of(fault_index, fault) {
                    self.start_process(gateway)?;
                }
            }
            FaultKind::PauseProcess => {
                for gateway in self.targets_of(fault_index, fault) {
                    self.signal(gateway, Signal::CONT);
                    self.gateways[gateway].paused.set(false);
                }
            }
            FaultKind::CutLinks { one_way } => {
                for (_, away, toward) in self.affected_links(fault_index, fault) {
                    away.end_cut();
                    if !one_way {
                        toward.end_cut();
                    }
                }
            }
            FaultKind::DelayLinks { .. } => {
                for (_, away, toward) in self.affected_links(fault_index, fault) {
                    away.delay_ranges.borrow_mut().pop();
                    toward.delay_ranges.borrow_mut().pop();
                }
            }
            FaultKind::FreezeDiscovery => {
                for gateway in self.targets_of(fault_index, fault) {
                    self.gateways[gateway].frozen_list_index.set(None);
                    if self.discovery_frozen_at.borrow_mut().remove(&gateway).is_none() {
                        self.discovery_unfrozen_at.borrow_mut().insert(gateway, self.clock.now());
                    }
                }
            }
            FaultKind::LimitBandwidth { .. } => {
                for (_, away, toward) in self.affected_links(fault_index, fault) {
                    away.max_bytes_per_s.set(None);
                    toward.max_bytes_per_s.set(None);
                }
            }
            FaultKind::FillDisk => {
                for gateway in self.targets_of(fault_index, fault) {
                    self.limit_file_size(gateway, None);
                }
            }
            FaultKind::FlapLinks { .. }
            | FaultKind::ReplaceProcesses { .. }
            | FaultKind::MoveDiscovery
            | FaultKind::RewriteConfig { .. } => {}
        }
        Ok(())
    }

    /// Rewrites a gateway's configuration file and sends the gateway SIGHUP.
    fn rewrite_config(&self, gateway: usize, change: impl FnOnce(&mut Value)) -> io::Result<()> {
        let path = &self.gateways[gateway].config_path;
        let mut config: Value = serde_json::from_slice(&std::fs::read(path)?)?;
        change(&mut config);
        std::fs::write(path, config.to_string())?;
        self.signal(gateway, Signal::HUP);
        Ok(())
    }

    /// Moves a gateway's discovery to a new address; the previous discovery sends no newer lists.
    async fn move_discovery(self: Rc<Self>, gateway: usize) {
        let new_address = stand_ins::start_discovery(
            gateway,
            self.lists.clone(),
            Rc::default(),
            self.clock,
            self.observations.clone(),
        )
        .await;
        self.gateways[gateway].frozen_list_index.set(Some(self.lists.newest_index()));
        let moved = new_address.and_then(|new_address| {
            self.rewrite_config(gateway, |config| config["discovery"] = new_address.to_string().into())
        });
        if let Err(error) = moved {
            self.logs.borrow_mut().push(format!("g{gateway}: its discovery can't be moved: {error}"));
        }
    }

    /// Limits the size of the files that a gateway's process writes: writes beyond the limit fail, as on a full disk. Without a limit
    /// they succeed again.
    fn limit_file_size(&self, gateway: usize, max_bytes: Option<u64>) {
        let running = self.gateways[gateway].process.borrow();
        let process_id = running
            .as_ref()
            .and_then(|running_process| running_process.child.id())
            .and_then(|process_id| i32::try_from(process_id).ok());
        let limit = Rlimit { current: max_bytes, maximum: None };
        if let Err(error) = prlimit(process_id.and_then(Pid::from_raw), Resource::Fsize, limit) {
            self.logs.borrow_mut().push(format!("g{gateway}: its files can't be limited: {error}"));
        }
    }

    fn kill_gateway(&self, gateway_number: usize) {
        let gateway = &self.gateways[gateway_number];
        gateway.client_address.set(None);
        gateway.link_address.set(None);
        for ((_, to), relay) in &self.relays {
            if *to == gateway_number {
                relay.target.set(None);
            }
        }
        if let Some(mut process) = gateway.process.take() {
            let _ = process.child.start_kill();
            let kill =
                Kill { gateway: gateway_number, process: process.process_number, at: self.clock.now() };
            self.kills.borrow_mut().push(kill);
            self.record(gateway_number, process.process_number, Observation::ProcessEnded);
            spawn_local(async move { drop(process.child.wait().await) });
        }
    }

    /// Replaces the processes of these gateways one after the other, as the operators' page says: the next one once the last one has
    /// joined again, and not before `interval` has passed. Without state on disk, two of three voters that are away at once end the group.
    async fn replace_processes(self: Rc<Self>, gateways: Vec<usize>, interval: Duration) {
        self.active_replacements.set(self.active_replacements.get() + 1);
        for gateway in gateways {
            let replacement_start = Instant::now();
            self.replace_process(gateway).await;
            while !self.has_joined(gateway).await && replacement_start.elapsed() < PROCESS_TIMEOUT {
                sleep(STATUS_POLL_INTERVAL).await;
            }
            sleep(interval.saturating_sub(replacement_start.elapsed())).await;
        }
        self.active_replacements.set(self.active_replacements.get() - 1);
    }

    /// Whether the gateway's process has a session, and its vote if it is a voter.
    async fn has_joined(&self, gateway: usize) -> bool {
        let Some(status) = self.query_admin(gateway, AdminQuery::Status).await else { return false };
        let is_in_session = status["standing"].as_str().is_some_and(|state| state.starts_with("in session"));
        let votes = status["council"][1] == true;
        is_in_session && (votes || gateway >= self.script.voter_count)
    }

    /// Replaces a process by a graceful shutdown: a new process starts once the previous one has ended.
    async fn replace_process(self: &Rc<Self>, gateway_number: usize) {
        let gateway = &self.gateways[gateway_number];
        let start = self.clock.now();
        gateway.client_address.set(None); // clients stop using the gateway before it stops, as behind a load balancer
        self.signal(gateway_number, Signal::TERM);
        let Some(mut process) = gateway.process.take() else { return };
        let exit = timeout(PROCESS_TIMEOUT, process.child.wait()).await;
        if !matches!(exit, Ok(Ok(status)) if status.success()) {
            self.logs.borrow_mut().push(format!("g{gateway_number}: told to stop, it came to {exit:?}"));
        }
        self.record(gateway_number, process.process_number, Observation::ProcessEnded);
        gateway.link_address.set(None);
        if let Err(error) = self.start_process(gateway_number) {
            self.logs.borrow_mut().push(format!("g{gateway_number}: {error}"));
        }
        self.record_fault_period(gateway_number, start, self.clock.now() + Duration::from_secs(3));
    }

    async fn stop_processes(&self) {
        for gateway in &self.gateways {
            if let Some(mut process) = gateway.process.take() {
                let _ = process.child.kill().await;
            }
        }
    }
}

fn session_in_line(line: &str, event: &str) -> Option<u64> {
    let (_, rest) = line.split_once("fleet: session ")?;
    let (session, rest) = rest.split_once(' ')?;
    rest.starts_with(event).then(|| session.parse().ok())?
}

/// The settings file of one gateway, in which the addresses of its peers are those of the relays.
fn settings_text(
    script: &Script,
    gateway: usize,
    relays: &BTreeMap<(usize, usize), Relay>,
    folder: &Path,
) -> String {
    let without_session_policy = if script.rejects_without_session { "refuse" } else { "serve" };
    let mut text = format!(
        "[fleet]\nname = \"{FLEET_NAME}\"\ngateway = \"{}\"\nlisten = \"127.0.0.1:0\"\nlineage = \"register\"\nalone = \"{without_session_policy}\"\n\
         lease = \"{}ms\"\nmargin = {:?}\nbehind = {}\nbehind_for = \"{}ms\"\nshut_out_most = {:?}\n",
        gateway_name(gateway),
        script.lease_length.as_millis(),
        script.clock_margin,
        script.lag_limit.0,
        script.lag_limit.1.as_millis(),
        script.max_fenced_fraction,
    );
    if script.has_disks {
        text += &format!("state = \"{}\"\n", folder.join("state").display());
    }
    for peer in 0..script.gateway_count {
        // A peer to which this gateway opens no link gets an address at which nothing listens.
        let address =
            relays.get(&(gateway, peer)).map_or("127.0.0.1:1".to_owned(), |relay| relay.address.to_string());
        let is_voter = peer < script.voter_count;
        text += &format!(
            "[[fleet.peer]]\nname = \"{}\"\naddress = \"{address}\"\ncouncil = {is_voter}\n",
            gateway_name(peer)
        );
    }
    text
}

/// Creates an empty folder for one run, named after the script, the seed and this process.
///
/// # Errors
/// If the folder can't be created.
pub fn create_run_folder(script: &Script, seed: u64, under: &Path) -> io::Result<PathBuf> {
    let folder = under.join(format!("whole-{}-{seed}-{}", script.name, std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}
