//! A script of faults for a fleet: who, what, from when, for how long.

use crate::draws::Draws;
use std::time::Duration;
use weldworks_config::{Choice, Document, Problems, Table};

/// What happens.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// Processes are killed, and start anew when it is over.
    Kill,
    /// Processes are stopped as they stand, and go on when it is over.
    Pause,
    /// The links between some and some others bring nothing, and nobody is told.
    Cut {
        /// From the ones to the others only.
        one_way: bool,
    },
    /// The links bring what they bring later.
    Slow {
        /// By so much, drawn for each frame.
        by: (Duration, Duration),
    },
    /// The links end and come up again, over and over.
    Flap {
        /// Each turn.
        every: Duration,
    },
    /// Discovery tells them nothing new.
    Stick,
    /// The links bring so many bytes a second at most; on real processes only.
    Thin {
        /// Bytes a second, each way.
        rate: u64,
    },
    /// Their discovery moves: the old one tells nothing new, their configuration names another, and SIGHUP says so; on real processes only.
    Move,
    /// Their configuration is written anew and SIGHUP says so; on real processes only.
    Configure {
        /// It can't be read, and is to be turned down.
        broken: bool,
    },
    /// Their disks take nothing any more; on real processes only.
    FillDisk,
    /// Their processes are replaced, one after the other, in order.
    Replace {
        /// From one to the next.
        apart: Duration,
    },
}

/// Whom it happens to.
#[derive(Clone, Debug, PartialEq)]
pub enum Whom {
    /// These gateways.
    Gateways(Vec<usize>),
    /// Whoever leads at that moment.
    Leader,
    /// All.
    All,
}

/// Something that happens.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// From when on.
    pub at: Duration,
    /// For how long; to the end where none.
    pub lasts: Option<Duration>,
    /// Whom.
    pub whom: Whom,
    /// For links: between them and these; all others where none.
    pub others: Option<Vec<usize>>,
    /// What.
    pub what: What,
}

/// A client asks each gateway this often, unless a script says otherwise.
const ASKS: Duration = Duration::from_millis(25);
/// After this at most, with nothing else wrong, one that came back has its seat again.
const SEATED: Duration = Duration::from_secs(4);

impl Event {
    /// When it is over.
    pub fn until(&self) -> Option<Duration> {
        self.lasts.map(|lasts| self.at + lasts)
    }
}

/// What is expected of the gateways named in it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Expected {
    /// They are shut out at some time.
    pub shut_out: Vec<usize>,
    /// They are without a session at some time.
    pub alone: Vec<usize>,
}

/// A script.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// Its name.
    pub name: String,
    /// What it shows.
    pub about: String,
    /// How long it is.
    pub lasts: Duration,
    /// How many gateways.
    pub gateways: usize,
    /// How many of them have a seat, the first ones.
    pub council: usize,
    /// The length of a lease.
    pub lease: Duration,
    /// The margin.
    pub margin: f64,
    /// Versions behind, and for how long, that make a straggler.
    pub behind: (u64, Duration),
    /// The part of the fleet that may be shut out.
    pub most_out: f64,
    /// A new list comes this often.
    pub lists: Duration,
    /// A client asks each gateway this often, on real processes.
    pub asks: Duration,
    /// From then on lists say that the last node leaves; on real processes only.
    pub leaves: Option<Duration>,
    /// Council members keep their state on disks.
    pub disks: bool,
    /// A gateway without a session refuses; otherwise it serves.
    pub refuses_alone: bool,
    /// What happens.
    pub events: Vec<Event>,
    /// What comes of it, beside what always has to hold.
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
    /// Reads a script.
    ///
    /// # Errors
    /// All that is wrong with it, each with its line and key.
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

    /// The same, where members keep their state: however many are killed, at whatever moment, nothing agreed on is lost.
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

    /// A script of faults drawn by a seed: for searching. All are over after two thirds of it, so that the rest shows the recovery.
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
            // Seats are met more often than their share: there the decisions are made.
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
        // A council without disks bears the loss of a minority of its processes until they are seated anew. A second loss before is
        // played by a script of its own; here it is a pause.
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
