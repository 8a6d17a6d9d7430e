//! Scripts of fault scenarios for a fleet: each fault has a kind, the gateways that it affects, a start and a duration.

use crate::draws::Draws;
use std::time::Duration;
use weldworks_config::{Choice, Document, Problems, Table};

/// Kinds of faults and of operations that a script can schedule.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// The processes are killed at the start of the fault and started again at its end.
    Kill,
    /// The processes are stopped by a signal at the start of the fault and continued at its end.
    Pause,
    /// The links between two groups of gateways carry nothing, and no gateway is notified of that.
    Cut {
        /// Whether only the direction from the fault's targets to the other gateways is cut.
        one_way: bool,
    },
    /// The links deliver everything with an added delay.
    Slow {
        /// Least and greatest added delay; the delay of each frame is drawn between them.
        by: (Duration, Duration),
    },
    /// The links are closed and reconnected repeatedly.
    Flap {
        /// Time between two closings of the links.
        every: Duration,
    },
    /// Discovery delivers no newer endpoint list to the gateways.
    Stick,
    /// The links carry at most this many bytes a second; only on real processes.
    Thin {
        /// Limit of each direction of a link, in bytes a second.
        rate: u64,
    },
    /// Discovery moves to another address: the previous one delivers no newer list, the gateways' configuration names the new one, and
    /// they get SIGHUP; only on real processes.
    Move,
    /// The gateways' configuration files are rewritten and the gateways get SIGHUP; only on real processes.
    Configure {
        /// Whether the new configuration file is invalid, so that the gateway has to reject it.
        broken: bool,
    },
    /// Writes to the gateways' disks fail; only on real processes.
    FillDisk,
    /// The gateways' processes are replaced one after the other, each by a graceful shutdown and a new start.
    Replace {
        /// Time from the start of one replacement to the next.
        apart: Duration,
    },
}

/// The gateways that a fault affects.
#[derive(Clone, Debug, PartialEq)]
pub enum Whom {
    /// The gateways with these numbers, counted from 0.
    Gateways(Vec<usize>),
    /// The gateway that leads the consensus group when the fault starts.
    Leader,
    /// All gateways of the fleet.
    All,
}

/// A scheduled fault or operation.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Start of the fault, from the start of the script.
    pub at: Duration,
    /// Duration of the fault; a fault without one lasts to the end of the run.
    pub lasts: Option<Duration>,
    /// The gateways that the fault affects.
    pub whom: Whom,
    /// For faults of links: the gateways at the other end of the affected links. Without this list, all gateways that are not targets.
    pub others: Option<Vec<usize>>,
    /// What happens to the gateways or links.
    pub what: What,
}

/// Interval between two requests of a client to its gateway, unless the script sets another.
const ASKS: Duration = Duration::from_millis(25);
/// Longest time that a restarted process needs to become a voter again where no other fault is active.
const SEATED: Duration = Duration::from_secs(4);

impl Event {
    /// End of the fault, from the start of the script; none where the fault lasts to the end of the run.
    pub fn until(&self) -> Option<Duration> {
        self.lasts.map(|lasts| self.at + lasts)
    }
}

/// What has to happen to the gateways that the script names, beside the rules that hold in every run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Expected {
    /// Gateways that have to be fenced at some time of the run.
    pub shut_out: Vec<usize>,
    /// Gateways that have to be without a session at some time after their first session.
    pub alone: Vec<usize>,
}

/// A fault scenario, read from a TOML file or drawn at random.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// Name of the scenario, written to the report.
    pub name: String,
    /// What the scenario demonstrates.
    pub about: String,
    /// Length of the scenario, without the time until the fleet is up on real processes.
    pub lasts: Duration,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of voters in the consensus group; the gateways with the lowest numbers are the voters.
    pub council: usize,
    /// Length of a session's lease.
    pub lease: Duration,
    /// Clock margin of the lease: the fraction by which the clock of any gateway may run fast or slow.
    pub margin: f64,
    /// A gateway is lagging once it is this many versions of the endpoint list behind for this long.
    pub behind: (u64, Duration),
    /// Greatest fraction of the fleet's sessions that may be fenced at once.
    pub most_out: f64,
    /// Interval between two versions of the endpoint list.
    pub lists: Duration,
    /// Interval between two requests of a client to its gateway, on real processes.
    pub asks: Duration,
    /// Time from which endpoint lists mark the last endpoint as draining; only on real processes.
    pub leaves: Option<Duration>,
    /// Whether voters store their consensus state on disk; on real processes the audit logs too.
    pub disks: bool,
    /// Whether a gateway without a session rejects requests; otherwise it serves them.
    pub refuses_alone: bool,
    /// The faults and operations of the scenario.
    pub events: Vec<Event>,
    /// What the faults have to lead to, beside the rules that hold in every run.
    pub expected: Expected,
}

#[derive(Clone, Copy)]
enum Word {
    Kill,
    Pause,
    Cut,
    CutOneWay,
    Slow,
    Flap,
    Stick,
    Thin,
    Move,
    Configure,
    FillDisk,
    Replace,
}

impl Choice for Word {
    const CHOICES: &'static [(&'static str, Word)] = &[
        ("kill", Word::Kill),
        ("pause", Word::Pause),
        ("cut", Word::Cut),
        ("cut-one-way", Word::CutOneWay),
        ("slow", Word::Slow),
        ("flap", Word::Flap),
        ("stick", Word::Stick),
        ("thin", Word::Thin),
        ("move", Word::Move),
        ("configure", Word::Configure),
        ("fill-disk", Word::FillDisk),
        ("replace", Word::Replace),
    ];
}

fn gateways(table: &Table<'_, '_>, key: &str, most: usize) -> Option<Vec<usize>> {
    let numbers: Vec<u64> = table.get(key)?;
    if numbers.iter().any(|n| *n as usize >= most) {
        table.report(
            key,
            format!("names a gateway that is not there: they are 0 to {}", most.saturating_sub(1)),
        );
    }
    Some(numbers.into_iter().map(|n| n as usize).collect())
}

fn event(table: &Table<'_, '_>, most: usize) -> Option<Event> {
    let what = table.require::<Word>("what");
    let leader = table.get_or("leader", false);
    let whom = match gateways(table, "gateways", most) {
        Some(all) => Whom::Gateways(all),
        None if leader => Whom::Leader,
        None => Whom::All,
    };
    let what = match what? {
        Word::Kill => What::Kill,
        Word::Pause => What::Pause,
        Word::Cut => What::Cut { one_way: false },
        Word::CutOneWay => What::Cut { one_way: true },
        Word::Slow => What::Slow { by: table.require("by")? },
        Word::Flap => What::Flap { every: table.require("every")? },
        Word::Stick => What::Stick,
        Word::Thin => What::Thin { rate: table.get_in_range("rate", 100..=1_000_000_000, 1000) },
        Word::Move => What::Move,
        Word::Configure => What::Configure { broken: table.get_or("broken", false) },
        Word::FillDisk => What::FillDisk,
        Word::Replace => What::Replace { apart: table.get_or("apart", Duration::ZERO) },
    };
    let others = gateways(table, "others", most);
    let event = Event { at: table.require("at")?, lasts: table.get("lasts"), whom, others, what };
    table.finish();
    Some(event)
}

impl Script {
    /// Parses a script from TOML text; `file` is named in the errors.
    ///
    /// # Errors
    /// All problems of the script, each with its line and key.
    pub fn parse(file: &str, text: &str) -> Result<Script, Problems> {
        let document = Document::parse(file, text)?;
        let root = document.root();
        let gateways_in_all = root.get_in_range("gateways", 3..=1000, 5) as usize;
        let council = root.get_in_range("council", 3..=5, 3) as usize;
        if council.is_multiple_of(2) || council > gateways_in_all {
            root.report("council", "is 3 or 5, and not more than there are gateways");
        }
        let expected = root.table("expected").map(|table| {
            let expected = Expected {
                shut_out: gateways(&table, "shut_out", gateways_in_all).unwrap_or_default(),
                alone: gateways(&table, "alone", gateways_in_all).unwrap_or_default(),
            };
            table.finish();
            expected
        });
        let script = Script {
            name: root.require("name").unwrap_or_default(),
            about: root.require("about").unwrap_or_default(),
            lasts: root.require("lasts").unwrap_or_default(),
            gateways: gateways_in_all,
            council,
            lease: root.get_or("lease", Duration::from_secs(2)),
            margin: root.get_in_range("margin", 0.001..=0.2, 0.02),
            behind: (
                root.get_in_range("behind", 1..=1000, 3),
                root.get_or("behind_for", Duration::from_secs(2)),
            ),
            most_out: root.get_in_range("shut_out_most", 0.0..=0.5, 0.2),
            lists: root.get_or("lists", Duration::from_millis(500)),
            asks: root.get_or("asks", ASKS),
            leaves: root.get("leaves"),
            disks: root.get_or("disks", false),
            refuses_alone: root.get_or("refuses_alone", false),
            events: root.tables("event").iter().filter_map(|t| event(t, gateways_in_all)).collect(),
            expected: expected.unwrap_or_default(),
        };
        root.finish();
        document.check(script)
    }

    /// A random script like [`Script::drawn`] with further kills, where voters store their state on disk: however many processes are
    /// killed, and whenever, no agreed entry may be lost.
    pub fn drawn_with_disks(seed: u64, gateways: usize, council: usize) -> Script {
        let mut script = Script::drawn(seed, gateways, council);
        let mut draw = Draws::new(seed).stream(crate::draws::For::Event, 1);
        let ms = |n: usize| Duration::from_millis(n as u64);
        for _ in 0..3 + draw.below(6) {
            let (at, lasts) = (ms(100 + draw.below(16_000)), Some(ms(20 + draw.below(2500))));
            let whom = match draw.below(4) {
                0 => Whom::All,
                1 => Whom::Leader,
                _ => Whom::Gateways(vec![draw.below(council)]),
            };
            script.events.push(Event { at, lasts, whom, others: None, what: What::Kill });
        }
        script.events.sort_by_key(|e| e.at);
        script.disks = true;
        script
    }

    /// A script with random faults, determined by `seed`, for searching violations. All faults end within the first two thirds of the
    /// script, so that the rest of it shows the recovery.
    pub fn drawn(seed: u64, gateways: usize, council: usize) -> Script {
        let mut draw = Draws::new(seed).stream(crate::draws::For::Event, 0);
        let lasts = Duration::from_secs(30);
        let mut number = |most: usize| draw.below(most);
        let ms = |n: usize| Duration::from_millis(n as u64);
        let count = 2 + number(8);
        let mut events = Vec::new();
        for _ in 0..count {
            let at = ms(2500 + number(14_000));
            let long = ms(50 + number(6000)).min(Duration::from_secs(20) - at);
            // Voters are targets more often than their share of the fleet, since they make the decisions.
            let one = if number(3) == 0 { number(gateways) } else { number(council) };
            let two = (one + 1 + number(gateways - 1)) % gateways;
            let whom = if number(5) == 0 { Whom::Leader } else { Whom::Gateways(vec![one]) };
            let what = match number(8) {
                0 | 1 => What::Kill,
                2 => What::Pause,
                3 => What::Cut { one_way: false },
                4 => What::Cut { one_way: true },
                5 => What::Slow { by: (ms(1), ms(1 + number(1500))) },
                6 => What::Flap { every: ms(100 + number(500)) },
                _ => What::Replace { apart: ms(200) },
            };
            let others = (number(2) == 0).then(|| vec![two]);
            events.push(Event { at, lasts: Some(long), whom, others, what });
        }
        events.sort_by_key(|e: &Event| e.at);
        // A consensus group without disks survives the loss of a minority of its processes until they are voters again. A second loss
        // before then has a script of its own; here it becomes a pause.
        let mut whole_from = Duration::ZERO;
        for event in &mut events {
            let seat = match &event.whom {
                Whom::Gateways(all) => all.iter().any(|g| *g < council),
                _ => true,
            };
            if seat && matches!(event.what, What::Kill | What::Replace { .. }) && event.at < whole_from {
                event.what = What::Pause;
            }
            whole_from = whole_from.max(event.until().unwrap_or(lasts) + SEATED);
        }
        Script {
            name: format!("drawn-{seed}"),
            about: "faults drawn by a seed".to_owned(),
            lasts,
            gateways,
            council,
            lease: Duration::from_secs(2),
            margin: 0.02,
            behind: (3, Duration::from_secs(2)),
            most_out: 0.2,
            lists: Duration::from_millis(500),
            asks: ASKS,
            leaves: None,
            disks: false,
            refuses_alone: false,
            events,
            expected: Expected::default(),
        }
    }
}
