//! A fleet on real processes: each link through a relay, processes killed, paused, continued and replaced on a timeline, nodes, registers
//! and clients round them, and the audit's books held against what those saw.

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
/// Clients wait so long for an answer.
const PATIENCE: Duration = Duration::from_secs(4);
/// The fleet is asked how it stands this often.
const LOOK: Duration = Duration::from_millis(150);
/// No start takes so long, on whatever machine.
const LONG: Duration = Duration::from_secs(60);
/// What is read from a log or a status was so a little before: no breach is made of less.
pub(super) const SLACK: Duration = Duration::from_millis(400);

/// What a play came to.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The script.
    pub script: String,
    /// The seed.
    pub seed: u64,
    /// What has to hold and did not.
    pub breaches: Vec<String>,
    /// Figures.
    pub figures: Figures,
}

/// Figures of a play.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Requests that clients sent.
    pub asked: usize,
    /// The part that was served.
    pub served: f64,
    /// The lowest part served in one second, over all gateways.
    pub worst_second: f64,
    /// Requests without an answer at gateways that nothing was done to.
    pub unanswered: usize,
    /// From a gateway's discovery being stuck to its being shut out, in seconds.
    pub to_shut_out_s: Vec<f64>,
    /// From its hearing again to its being let in.
    pub to_let_in_s: Vec<f64>,
    /// The longest time without a leader that anybody saw, in seconds, as looked at every 150 ms.
    pub leaderless_s: f64,
    /// Steps of requests held against the audit.
    pub audited: usize,
    /// Of those, by processes that had ended.
    pub audited_ended: usize,
    /// CPU of a process at the end since its start, in hundredths of a core: members', median and most, and the others'.
    pub cpu_percent: [(f64, f64); 2],
    /// Resident memory of a process at the end, in MiB: median and most.
    pub memory_mib: (f64, f64),
    /// From the last that is known of a killed process to its end, in seconds, one a case.
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
    /// Where its link listens.
    pub(super) link: Rc<Cell<Option<SocketAddr>>>,
    /// Where it takes clients.
    pub(super) address: Rc<Cell<Option<SocketAddr>>>,
    pub(super) stuck: Rc<Cell<Option<u64>>>,
    /// When something was done to it: from, until.
    pub(super) troubled: RefCell<Vec<(Duration, Duration)>>,
    /// Since when its present process takes clients.
    pub(super) since: Cell<Duration>,
}

pub(super) struct Play {
    pub(super) script: Script,
    pub(super) program: PathBuf,
    pub(super) clock: Clock,
    pub(super) gateways: Vec<Gateway>,
    /// By who calls whom.
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
    /// Whose configuration was written anew, and whether so that it can't be read.
    pub(super) configured: RefCell<BTreeMap<usize, bool>>,
    /// Who was killed, when.
    pub(super) kills: RefCell<Vec<(usize, Duration)>>,
    /// The wall clock at the play's beginning.
    pub(super) began_unix_ms: u64,
}

fn name(gateway: usize) -> String {
    format!("g{gateway:03}")
}

/// Plays a script with this program; files go into the folder.
///
/// # Errors
/// Where a process or a stand-in can't be started.
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
                // Of two with seats the first calls the other.
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

    /// Starts a gateway's process, and reads its log for as long as it runs.
    fn start(self: &Rc<Self>, n: usize) -> io::Result<()> {
        let gateway = &self.gateways[n];
        // A write beyond the limit of a file's length is to fail and not to end the process, as a full disk does.
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

    /// A line of a gateway's log.
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
        // A slow machine has as long as it needs to come to rest; what it came to is judged then.
        let settled = Instant::now();
        while !self.all_in_session().await && settled.elapsed() < LONG / 3 {
            sleep(LOOK).await;
        }
        lists.abort();
        looking.abort();
        Ok(())
    }

    /// Looks again and again who leads.
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

    /// Asks one gateway as staff do, at its own address and not through a relay.
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

    /// What the processes have cost.
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
            // Times are in hundredths of a second, the unit of the kernel's interface.
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

    /// The relays between those that an event meets and the others, each with the direction that leads away from the met.
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
            let _ = kill_process(process, signal); // one that has ended meanwhile needs none
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

    /// Writes a gateway's configuration anew and says so.
    fn configure(&self, n: usize, change: impl FnOnce(&mut Value)) -> io::Result<()> {
        let path = &self.gateways[n].config;
        let mut config: Value = serde_json::from_slice(&std::fs::read(path)?)?;
        change(&mut config);
        std::fs::write(path, config.to_string())?;
        self.signal(n, Signal::HUP);
        Ok(())
    }

    /// A gateway's discovery is elsewhere from now on; the one before tells nothing new.
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

    /// No file of a gateway's process may be longer than this: what is written beyond fails, as on a full disk.
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

    /// Replaces a process in order: it is told to stop, and the next one starts once it has ended.
    async fn replace(self: &Rc<Self>, n: usize) {
        let gateway = &self.gateways[n];
        let from = self.clock.now();
        gateway.address.set(None); // its clients are sent elsewhere first, as a front does
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

/// The operator's file of one gateway: the others stand where their relays do.
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
        // Who is never called stands at an address where nobody is.
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

/// A folder of a play's own.
///
/// # Errors
/// Where it can't be had.
pub fn folder_of(script: &Script, seed: u64, under: &Path) -> io::Result<PathBuf> {
    let folder = under.join(format!("whole-{}-{seed}-{}", script.name, std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}
