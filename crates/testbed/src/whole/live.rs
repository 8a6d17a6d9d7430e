//! Fault scenarios on real gateway processes: each link goes through a relay; processes are killed, paused, continued and replaced on a
//! timeline; stand-in endpoints, discoveries and clients surround the gateways. The audit logs are checked against what these stand-ins
//! observed.

use super::history::{History, Seen};
use super::place::{self, Books, Clock, Lists};
use super::relay::{Relay, Way};
use super::script::{Event, Script, What, Whom};
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

const FLEET: &str = "whole";
pub(super) const NODES: usize = 4;
/// How long a client waits for a response.
const PATIENCE: Duration = Duration::from_secs(4);
/// Interval at which the gateways' fleet status is polled.
const LOOK: Duration = Duration::from_millis(150);
/// Limit for the start of the fleet and for the shutdown of a process, long enough for slow machines.
const LONG: Duration = Duration::from_secs(60);
/// Tolerance for observations: a log line or status is read up to this long after the state that it describes. Smaller differences are no
/// violation.
pub(super) const SLACK: Duration = Duration::from_millis(400);

/// Result of a run on real processes.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the script.
    pub script: String,
    /// Seed of the run.
    pub seed: u64,
    /// Violated rules, as text.
    pub breaches: Vec<String>,
    /// Figures of the run.
    pub figures: Figures,
}

/// Figures of a run on real processes.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Number of requests that clients sent.
    pub asked: usize,
    /// Fraction of the requests that were served.
    pub served: f64,
    /// Lowest fraction of requests served within one second, over all gateways.
    pub worst_second: f64,
    /// Requests without a response from gateways that no fault affected.
    pub unanswered: usize,
    /// Time from a gateway's discovery being frozen until the gateway is fenced, in seconds, one value for each case.
    pub to_shut_out_s: Vec<f64>,
    /// Time from a gateway's discovery working again until the gateway is unfenced, in seconds, one value for each case.
    pub to_let_in_s: Vec<f64>,
    /// Longest time without a known leader, in seconds, as polled every 150 ms.
    pub leaderless_s: f64,
    /// Number of forwarded requests that were looked up in the audit.
    pub audited: usize,
    /// Number of forwarded requests that were looked up in the audit of an ended process.
    pub audited_ended: usize,
    /// CPU use of a process from its start to the end of the run, in hundredths of a core: median and maximum, first of the voters and
    /// then of the other gateways.
    pub cpu_percent: [(f64, f64); 2],
    /// Resident memory of a process at the end of the run, in MiB: median and maximum.
    pub memory_mib: (f64, f64),
    /// Time from the last that the audit knows of a killed process to the kill, in seconds, one value for each kill.
    pub unknown_s: Vec<f64>,
}

pub(super) struct Process {
    child: Child,
    number: usize,
    since: Instant,
}

pub(super) struct Gateway {
    pub(super) settings: PathBuf,
    pub(super) config: PathBuf,
    pub(super) running: RefCell<Option<Process>>,
    pub(super) started: Cell<usize>,
    pub(super) paused: Cell<bool>,
    /// Address at which the gateway's process accepts links of other gateways.
    pub(super) link: Rc<Cell<Option<SocketAddr>>>,
    /// Address at which the gateway accepts clients.
    pub(super) address: Rc<Cell<Option<SocketAddr>>>,
    pub(super) stuck: Rc<Cell<Option<u64>>>,
    /// Times in which a fault affected the gateway: start and end.
    pub(super) troubled: RefCell<Vec<(Duration, Duration)>>,
    /// When the gateway's present process started to accept clients.
    pub(super) since: Cell<Duration>,
}

pub(super) struct Play {
    pub(super) script: Script,
    pub(super) program: PathBuf,
    pub(super) clock: Clock,
    pub(super) gateways: Vec<Gateway>,
    /// The relay of each link, by the numbers of the gateway that opens the link and of the one that accepts it.
    pub(super) relays: BTreeMap<(usize, usize), Relay>,
    pub(super) lists: Rc<Lists>,
    pub(super) books: Rc<Books>,
    pub(super) history: RefCell<History>,
    pub(super) leader: Cell<Option<usize>>,
    pub(super) leaderless: Cell<(Option<Duration>, Duration)>,
    pub(super) whom: RefCell<BTreeMap<usize, Vec<usize>>>,
    pub(super) stuck_since: RefCell<BTreeMap<usize, Duration>>,
    pub(super) freed: RefCell<BTreeMap<usize, Duration>>,
    pub(super) figures: RefCell<Figures>,
    pub(super) logs: RefCell<Vec<String>>,
    pub(super) left: Cell<Option<Duration>>,
    /// Gateways whose configuration file was rewritten, each with whether the new file is invalid.
    pub(super) configured: RefCell<BTreeMap<usize, bool>>,
    /// Which gateways were killed, and when.
    pub(super) kills: RefCell<Vec<(usize, Duration)>>,
    /// Wall clock time at the start of the run, in milliseconds since the Unix epoch.
    pub(super) began_unix_ms: u64,
}

fn name(gateway: usize) -> String {
    format!("g{gateway:03}")
}

/// Runs a script with the given gateway program; settings, configuration and state are written to the folder. Returns the report, and the
/// history and logs of all gateways as lines of text.
///
/// # Errors
/// If a gateway process or a stand-in can't be started, or the fleet is not up in time.
pub fn play(script: &Script, seed: u64, program: &Path, folder: &Path) -> io::Result<(Report, Vec<String>)> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, async {
        let play = Rc::new(Play::prepare(script, seed, program, folder).await?);
        play.clone().run().await?;
        play.weigh();
        let breaches = play.judge().await;
        let figures = play.figures.borrow().clone();
        let report = Report { script: script.name.clone(), seed, breaches, figures };
        play.end().await;
        let text = play.history.borrow().text();
        let mut told: Vec<String> = text.lines().map(str::to_owned).collect();
        told.extend(play.logs.borrow().iter().cloned());
        Ok((report, told))
    })
}

impl Play {
    async fn prepare(script: &Script, seed: u64, program: &Path, folder: &Path) -> io::Result<Play> {
        let clock = Clock(Instant::now());
        let books = Rc::new(Books::default());
        let mut nodes = Vec::new();
        for n in 0..NODES {
            nodes.push(place::node(n, clock, books.clone()).await?);
        }
        let lists = Lists::new(nodes);
        let mut relays = BTreeMap::new();
        for from in 0..script.gateways {
            for to in 0..script.council {
                // Of two voters the one with the lower number opens the link.
                if from != to && (from >= script.council || from < to) {
                    relays.insert((from, to), Relay::start(seed ^ ((from * 1000 + to) as u64)).await?);
                }
            }
        }
        let mut gateways = Vec::new();
        for n in 0..script.gateways {
            let stuck = Rc::new(Cell::new(None));
            let discovery = place::register(n, lists.clone(), stuck.clone(), clock, books.clone()).await?;
            let (settings, config) = (folder.join(format!("g{n}.toml")), folder.join(format!("g{n}.json")));
            std::fs::write(&settings, settings_text(script, n, &relays, folder))?;
            let mut told = scripted::config(&discovery.to_string(), 256 + script.gateways, &[]);
            told["known"] = lists.whole(1);
            told["name"] = name(n).into();
            std::fs::write(&config, told.to_string())?;
            gateways.push(Gateway {
                settings,
                config,
                running: RefCell::new(None),
                started: Cell::new(0),
                paused: Cell::new(false),
                link: Rc::default(),
                address: Rc::default(),
                stuck,
                troubled: RefCell::default(),
                since: Cell::default(),
            });
        }
        Ok(Play {
            script: script.clone(),
            program: program.to_path_buf(),
            clock,
            gateways,
            relays,
            lists,
            books,
            history: RefCell::default(),
            leader: Cell::new(None),
            leaderless: Cell::default(),
            whom: RefCell::default(),
            stuck_since: RefCell::default(),
            freed: RefCell::default(),
            figures: RefCell::default(),
            logs: RefCell::default(),
            left: Cell::new(None),
            configured: RefCell::default(),
            kills: RefCell::default(),
            began_unix_ms: SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
                as u64,
        })
    }

    /// Starts a gateway's process and reads its log until the process ends.
    fn start(self: &Rc<Self>, n: usize) -> io::Result<()> {
        let gateway = &self.gateways[n];
        // The shell ignores SIGXFSZ, so that a write beyond the limit on file size fails, as on a full disk, and does not end the
        // process.
        let mut command = Command::new("sh");
        command
            .args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""])
            .arg(&self.program)
            .arg("--settings")
            .arg(&gateway.settings)
            .args(["run", "--fleet"]);
        command
            .env("ROUTER_CONFIG", &gateway.config)
            .env_remove("ROUTER_LISTEN")
            .env_remove("ROUTER_DISCOVERY");
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).kill_on_drop(true);
        let mut child = command.spawn()?;
        let number = gateway.started.get();
        gateway.started.set(number + 1);
        let log = child.stderr.take();
        gateway.running.replace(Some(Process { child, number, since: Instant::now() }));
        let play = self.clone();
        spawn_local(async move {
            let Some(log) = log else { return };
            let mut lines = BufReader::new(log).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                play.read(n, number, &line);
            }
        });
        Ok(())
    }

    /// Reads a line of a gateway's log and updates the addresses and the history.
    fn read(&self, n: usize, number: usize, line: &str) {
        let (at, gateway) = (self.clock.now(), &self.gateways[n]);
        self.logs.borrow_mut().push(format!("{:>9.3} g{n}.{number} log: {line}", at.as_secs_f64()));
        let address =
            |mark: &str| line.split_once(mark).and_then(|(_, a)| a.trim().parse::<SocketAddr>().ok());
        if let Some(link) = address("the link listens address=") {
            gateway.link.set(Some(link));
            for ((_, to), relay) in &self.relays {
                if *to == n {
                    relay.target.set(Some(link));
                }
            }
        } else if let Some(clients) = address(" listening address=") {
            gateway.since.set(at);
            gateway.address.set(Some(clients));
        } else if let Some((_, standing)) = line.split_once("fleet standing=") {
            let standing = standing.split(" takes_clients=").next().unwrap_or_default().trim();
            let acting = match standing.strip_prefix("in session ") {
                Some(id) => SessionState::InSession(id.parse().unwrap_or_default()),
                None if standing == "alone" => SessionState::WithoutSession,
                None => SessionState::Fenced(FenceReason::Lagging(VersionLag::Build {
                    own: String::new(),
                    required: standing.to_owned(),
                })),
            };
            if matches!(acting, SessionState::Fenced(_)) {
                if let Some(since) = self.stuck_since.borrow_mut().remove(&n) {
                    self.figures.borrow_mut().to_shut_out_s.push((at - since).as_secs_f64());
                }
            } else if let Some(since) = self.freed.borrow_mut().remove(&n) {
                self.figures.borrow_mut().to_let_in_s.push((at - since).as_secs_f64());
            }
            self.note(n, number, Seen::Stands(acting));
        } else if let Some(id) = session_in(line, "expired") {
            self.note(n, number, Seen::Lapsed(id));
        } else if let Some(id) = session_in(line, "fenced") {
            self.note(n, number, Seen::ShutOut(id));
        }
    }

    fn note(&self, n: usize, number: usize, seen: Seen) {
        self.history.borrow_mut().note(self.clock.now(), n, number, seen);
    }

    async fn run(self: Rc<Self>) -> io::Result<()> {
        for n in 0..self.gateways.len() {
            self.start(n)?;
        }
        let begun = Instant::now();
        while !self.all_in_session().await {
            if begun.elapsed() > LONG {
                let logs = self.logs.borrow().join("\n");
                return Err(io::Error::other(format!("the fleet does not come together:\n{logs}")));
            }
            sleep(LOOK).await;
        }
        for (n, gateway) in self.gateways.iter().enumerate() {
            let (clock, books) = (self.clock, self.books.clone());
            spawn_local(place::client(n, gateway.address.clone(), self.script.asks, PATIENCE, clock, books));
        }
        let looking = spawn_local(self.clone().look());
        let start = Instant::now();
        let lists = {
            let play = self.clone();
            spawn_local(async move {
                loop {
                    sleep(play.script.lists).await;
                    let due =
                        play.script.leaves.filter(|at| play.left.get().is_none() && start.elapsed() >= *at);
                    play.lists.next(due.map(|_| NODES - 1));
                    if due.is_some() {
                        play.left.set(Some(play.clock.now()));
                    }
                }
            })
        };
        let mut deeds: Vec<(Duration, usize, bool)> = Vec::new();
        for (n, event) in self.script.events.iter().enumerate() {
            deeds.push((event.at, n, true));
            deeds.extend(event.until().map(|until| (until, n, false)));
        }
        deeds.sort_by_key(|(at, n, on)| (*at, *n, !*on));
        for (at, n, on) in deeds {
            tokio::time::sleep_until(start + at).await;
            let event = self.script.events[n].clone();
            if on {
                self.begin(n, &event)?;
            } else {
                self.over(n, &event)?;
            }
        }
        tokio::time::sleep_until(start + self.script.lasts).await;
        // A slow machine gets more time to recover from the last fault; the checks use the state after that.
        let settled = Instant::now();
        while !self.all_in_session().await && settled.elapsed() < LONG / 3 {
            sleep(LOOK).await;
        }
        lists.abort();
        looking.abort();
        Ok(())
    }

    /// Polls the voters until the run ends, to find out which one leads and how long there is no leader.
    async fn look(self: Rc<Self>) {
        loop {
            let mut leader = None;
            for n in 0..self.script.council {
                if self.gateways[n].paused.get() {
                    continue;
                }
                let Some(status) = self.ask(n, AdminQuery::Status).await else { continue };
                if status["leader"] == name(n) {
                    leader = Some(n);
                }
            }
            let (since, longest) = self.leaderless.get();
            match leader {
                Some(_) => {
                    let without = since.map_or(Duration::ZERO, |since| self.clock.now() - since);
                    self.leaderless.set((None, longest.max(without)));
                    self.leader.set(leader);
                }
                None => self.leaderless.set((since.or(Some(self.clock.now())), longest)),
            }
            sleep(LOOK).await;
        }
    }

    async fn all_in_session(&self) -> bool {
        for n in 0..self.gateways.len() {
            let Some(status) = self.ask(n, AdminQuery::Status).await else { return false };
            if !status["standing"].as_str().is_some_and(|s| s.starts_with("in session")) {
                return false;
            }
        }
        true
    }

    /// Sends one gateway a query of the admin API, directly to its own address and not through a relay.
    pub(super) async fn ask(&self, n: usize, question: AdminQuery) -> Option<Value> {
        let address = self.gateways[n].link.get()?;
        let asking = async {
            let stream = TcpStream::connect(address).await.ok()?;
            let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
            let mut framed = Framed::new(stream, codec);
            let hello = Hello::new(FLEET, Caller::Administrator, &name(n));
            framed.send(Bytes::from(protocol::encode_frame(&hello)?)).await.ok()?;
            framed.send(Bytes::from(protocol::encode_frame(&Frame::AdminQuery(question))?)).await.ok()?;
            framed.next().await?.ok()?;
            let answer = framed.next().await?.ok()?;
            let Ok(Frame::AdminAnswer(text)) = protocol::decode_frame(&answer) else { return None };
            let mut told: Value = serde_json::from_str(&text).ok()?;
            Some(told["answer"].take())
        };
        timeout(Duration::from_secs(2), asking).await.ok().flatten()
    }

    /// Measures CPU use and memory of the running processes.
    fn weigh(&self) {
        let mut cpu = [Vec::new(), Vec::new()];
        let mut memory = Vec::new();
        for (n, gateway) in self.gateways.iter().enumerate() {
            let running = gateway.running.borrow();
            let Some((process, id)) = running.as_ref().and_then(|p| Some((p, p.child.id()?))) else {
                continue;
            };
            let read = |file: &str| std::fs::read_to_string(format!("/proc/{id}/{file}")).unwrap_or_default();
            let stat = read("stat");
            let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect();
            let ticks = |at: usize| fields.get(at).and_then(|f| f.parse::<f64>().ok()).unwrap_or_default();
            // The kernel reports CPU times in hundredths of a second.
            let percent = (ticks(11) + ticks(12)) / process.since.elapsed().as_secs_f64();
            cpu[usize::from(n >= self.script.council)].push(percent);
            let pages =
                read("statm").split(' ').nth(1).and_then(|f| f.parse::<f64>().ok()).unwrap_or_default();
            memory.push(pages * 4096.0 / f64::from(1 << 20));
        }
        let spread = |mut all: Vec<f64>| {
            all.sort_by(f64::total_cmp);
            (all.get(all.len() / 2).copied().unwrap_or_default(), all.last().copied().unwrap_or_default())
        };
        let mut figures = self.figures.borrow_mut();
        figures.cpu_percent = cpu.map(spread);
        figures.memory_mib = spread(memory);
    }

    fn met(&self, n: usize, event: &Event) -> Vec<usize> {
        let mut known = self.whom.borrow_mut();
        let whom = known.entry(n).or_insert_with(|| match &event.whom {
            Whom::Gateways(all) => all.clone(),
            Whom::Leader => self.leader.get().into_iter().collect(),
            Whom::All => (0..self.gateways.len()).collect(),
        });
        whom.clone()
    }

    /// The relays of the links that a fault affects, each with the direction that leads away from the fault's target and the opposite
    /// one.
    fn links(&self, n: usize, event: &Event) -> Vec<(&Relay, Rc<Way>, Rc<Way>)> {
        let whom = self.met(n, event);
        let other = |g: usize| event.others.as_ref().map_or(!whom.contains(&g), |others| others.contains(&g));
        let mut met = Vec::new();
        for ((from, to), relay) in &self.relays {
            if whom.contains(from) && other(*to) {
                met.push((relay, relay.there.clone(), relay.back.clone()));
            } else if whom.contains(to) && other(*from) {
                met.push((relay, relay.back.clone(), relay.there.clone()));
            }
        }
        met
    }

    fn signal(&self, n: usize, signal: Signal) {
        let running = self.gateways[n].running.borrow();
        let id = running.as_ref().and_then(|p| p.child.id()).and_then(|id| i32::try_from(id).ok());
        if let Some(process) = id.and_then(Pid::from_raw) {
            let _ = kill_process(process, signal); // the process may have ended already
        }
    }

    fn trouble(&self, n: usize, from: Duration, until: Duration) {
        self.gateways[n].troubled.borrow_mut().push((from, until));
    }

    fn begin(self: &Rc<Self>, n: usize, event: &Event) -> io::Result<()> {
        let now = self.clock.now();
        let until = now + event.lasts.unwrap_or(self.script.lasts) + Duration::from_secs(3);
        match &event.what {
            What::Kill => {
                for gateway in self.met(n, event) {
                    self.trouble(gateway, now, until);
                    self.kill(gateway);
                }
            }
            What::Pause => {
                for gateway in self.met(n, event) {
                    self.trouble(gateway, now, until);
                    self.gateways[gateway].paused.set(true);
                    self.signal(gateway, Signal::STOP);
                }
            }
            What::Cut { one_way } => {
                for (_, there, back) in self.links(n, event) {
                    there.cut.set(there.cut.get() + 1);
                    if !one_way {
                        back.cut.set(back.cut.get() + 1);
                    }
                }
            }
            What::Slow { by } => {
                for (_, there, back) in self.links(n, event) {
                    there.slow.borrow_mut().push(*by);
                    back.slow.borrow_mut().push(*by);
                }
            }
            What::Flap { every } => {
                let (play, event, every) = (self.clone(), event.clone(), *every);
                spawn_local(async move {
                    let until = Instant::now() + event.lasts.unwrap_or(play.script.lasts);
                    while Instant::now() < until {
                        for (relay, ..) in play.links(n, &event) {
                            relay.reset();
                        }
                        sleep(every).await;
                    }
                });
            }
            What::Stick => {
                for gateway in self.met(n, event) {
                    self.gateways[gateway].stuck.set(Some(self.lists.index()));
                    self.stuck_since.borrow_mut().insert(gateway, now);
                    self.trouble(gateway, now, until);
                }
            }
            What::Thin { rate } => {
                for (_, there, back) in self.links(n, event) {
                    there.thin.set(Some(*rate));
                    back.thin.set(Some(*rate));
                }
            }
            What::Move => {
                for gateway in self.met(n, event) {
                    spawn_local(self.clone().move_discovery(gateway));
                }
            }
            What::Configure { broken } => {
                for gateway in self.met(n, event) {
                    self.configured.borrow_mut().insert(gateway, *broken);
                    self.configure(gateway, |config| {
                        let settings = &mut config["settings"];
                        settings["max_attempts"] =
                            (settings["max_attempts"].as_u64().unwrap_or(2) + 1).into();
                        if *broken {
                            *settings = Value::Null;
                        }
                    })?;
                }
            }
            What::FillDisk => {
                for gateway in self.met(n, event) {
                    self.limit_files(gateway, Some(1));
                }
            }
            What::Replace { apart } => {
                let (play, all, apart) = (self.clone(), self.met(n, event), *apart);
                spawn_local(async move {
                    for gateway in all {
                        let began = Instant::now();
                        play.replace(gateway).await;
                        sleep(apart.saturating_sub(began.elapsed())).await;
                    }
                });
            }
        }
        Ok(())
    }

    fn over(self: &Rc<Self>, n: usize, event: &Event) -> io::Result<()> {
        match &event.what {
            What::Kill => {
                for gateway in self.met(n, event) {
                    self.start(gateway)?;
                }
            }
            What::Pause => {
                for gateway in self.met(n, event) {
                    self.signal(gateway, Signal::CONT);
                    self.gateways[gateway].paused.set(false);
                }
            }
            What::Cut { one_way } => {
                for (_, there, back) in self.links(n, event) {
                    there.heal();
                    if !one_way {
                        back.heal();
                    }
                }
            }
            What::Slow { .. } => {
                for (_, there, back) in self.links(n, event) {
                    there.slow.borrow_mut().pop();
                    back.slow.borrow_mut().pop();
                }
            }
            What::Stick => {
                for gateway in self.met(n, event) {
                    self.gateways[gateway].stuck.set(None);
                    if self.stuck_since.borrow_mut().remove(&gateway).is_none() {
                        self.freed.borrow_mut().insert(gateway, self.clock.now());
                    }
                }
            }
            What::Thin { .. } => {
                for (_, there, back) in self.links(n, event) {
                    there.thin.set(None);
                    back.thin.set(None);
                }
            }
            What::FillDisk => {
                for gateway in self.met(n, event) {
                    self.limit_files(gateway, None);
                }
            }
            What::Flap { .. } | What::Replace { .. } | What::Move | What::Configure { .. } => {}
        }
        Ok(())
    }

    /// Rewrites a gateway's configuration file and sends the gateway SIGHUP.
    fn configure(&self, n: usize, change: impl FnOnce(&mut Value)) -> io::Result<()> {
        let path = &self.gateways[n].config;
        let mut config: Value = serde_json::from_slice(&std::fs::read(path)?)?;
        change(&mut config);
        std::fs::write(path, config.to_string())?;
        self.signal(n, Signal::HUP);
        Ok(())
    }

    /// Moves a gateway's discovery to a new address; the previous discovery sends no newer lists.
    async fn move_discovery(self: Rc<Self>, n: usize) {
        let there =
            place::register(n, self.lists.clone(), Rc::default(), self.clock, self.books.clone()).await;
        self.gateways[n].stuck.set(Some(self.lists.index()));
        let moved = there
            .and_then(|there| self.configure(n, |config| config["discovery"] = there.to_string().into()));
        if let Err(error) = moved {
            self.logs.borrow_mut().push(format!("g{n}: its discovery can't be moved: {error}"));
        }
    }

    /// Limits the size of the files that a gateway's process writes: writes beyond the limit fail, as on a full disk. Without a limit
    /// they succeed again.
    fn limit_files(&self, n: usize, most: Option<u64>) {
        let running = self.gateways[n].running.borrow();
        let id = running.as_ref().and_then(|p| p.child.id()).and_then(|id| i32::try_from(id).ok());
        let limit = Rlimit { current: most, maximum: None };
        if let Err(error) = prlimit(id.and_then(Pid::from_raw), Resource::Fsize, limit) {
            self.logs.borrow_mut().push(format!("g{n}: its files can't be limited: {error}"));
        }
    }

    fn kill(&self, n: usize) {
        let gateway = &self.gateways[n];
        gateway.address.set(None);
        gateway.link.set(None);
        for ((_, to), relay) in &self.relays {
            if *to == n {
                relay.target.set(None);
            }
        }
        if let Some(mut process) = gateway.running.take() {
            let _ = process.child.start_kill();
            self.kills.borrow_mut().push((n, self.clock.now()));
            self.note(n, process.number, Seen::Ended);
            spawn_local(async move { drop(process.child.wait().await) });
        }
    }

    /// Replaces a process by a graceful shutdown: a new process starts once the previous one has ended.
    async fn replace(self: &Rc<Self>, n: usize) {
        let gateway = &self.gateways[n];
        let from = self.clock.now();
        gateway.address.set(None); // clients stop using the gateway before it stops, as behind a load balancer
        self.signal(n, Signal::TERM);
        let Some(mut process) = gateway.running.take() else { return };
        let ended = timeout(LONG, process.child.wait()).await;
        if !matches!(ended, Ok(Ok(status)) if status.success()) {
            self.logs.borrow_mut().push(format!("g{n}: told to stop, it came to {ended:?}"));
        }
        self.note(n, process.number, Seen::Ended);
        gateway.link.set(None);
        if let Err(error) = self.start(n) {
            self.logs.borrow_mut().push(format!("g{n}: {error}"));
        }
        self.trouble(n, from, self.clock.now() + Duration::from_secs(3));
    }

    async fn end(&self) {
        for gateway in &self.gateways {
            if let Some(mut process) = gateway.running.take() {
                let _ = process.child.kill().await;
            }
        }
    }
}

fn session_in(line: &str, what: &str) -> Option<u64> {
    let (_, rest) = line.split_once("fleet: session ")?;
    let (id, rest) = rest.split_once(' ')?;
    rest.starts_with(what).then(|| id.parse().ok())?
}

/// The settings file of one gateway, in which the addresses of its peers are those of the relays.
fn settings_text(
    script: &Script,
    n: usize,
    relays: &BTreeMap<(usize, usize), Relay>,
    folder: &Path,
) -> String {
    let alone = if script.refuses_alone { "refuse" } else { "serve" };
    let mut text = format!(
        "[fleet]\nname = \"{FLEET}\"\ngateway = \"{}\"\nlisten = \"127.0.0.1:0\"\nlineage = \"register\"\nalone = \"{alone}\"\n\
         lease = \"{}ms\"\nmargin = {:?}\nbehind = {}\nbehind_for = \"{}ms\"\nshut_out_most = {:?}\n",
        name(n),
        script.lease.as_millis(),
        script.margin,
        script.behind.0,
        script.behind.1.as_millis(),
        script.most_out,
    );
    if script.disks {
        text += &format!("state = \"{}\"\n", folder.join("state").display());
    }
    for to in 0..script.gateways {
        // A peer to which this gateway opens no link gets an address at which nothing listens.
        let address =
            relays.get(&(n, to)).map_or("127.0.0.1:1".to_owned(), |relay| relay.address.to_string());
        let council = to < script.council;
        text += &format!(
            "[[fleet.peer]]\nname = \"{}\"\naddress = \"{address}\"\ncouncil = {council}\n",
            name(to)
        );
    }
    text
}

/// Creates an empty folder for one run, named after the script, the seed and this process.
///
/// # Errors
/// If the folder can't be created.
pub fn folder_of(script: &Script, seed: u64, under: &Path) -> io::Result<PathBuf> {
    let folder = under.join(format!("whole-{}-{seed}-{}", script.name, std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}
