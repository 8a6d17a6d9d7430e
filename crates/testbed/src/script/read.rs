//! From TOML to a script, with every error told.

use super::{
    defaults, Class, Clients, Event, Fleet, Kind, Limits, LiveWeights, Load, Network, Register, Script,
    Shape, Tenant, What, Whom,
};
use crate::model::{ChokeSpec, Distribution, PauseSpec, WarmBy};
use std::time::Duration;
use weldworks_balancer::{Idempotency, KeyScope};
use weldworks_config::{Choice, Document, Problems, Table};

impl Choice for Shape {
    const CHOICES: &'static [(&'static str, Shape)] =
        &[("steady", Shape::Steady), ("wave", Shape::Wave), ("ramp", Shape::Ramp)];
}

impl Choice for Distribution {
    const CHOICES: &'static [(&'static str, Distribution)] = &[
        ("fixed", Distribution::Fixed),
        ("exponential", Distribution::Exponential),
        ("log-normal", Distribution::LogNormal),
    ];
}

impl Choice for WarmBy {
    const CHOICES: &'static [(&'static str, WarmBy)] = &[("time", WarmBy::Time), ("work", WarmBy::Work)];
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum EffectWord {
    Safe,
    Keyed,
    Unsafe,
}

impl Choice for EffectWord {
    const CHOICES: &'static [(&'static str, EffectWord)] =
        &[("safe", EffectWord::Safe), ("keyed", EffectWord::Keyed), ("unsafe", EffectWord::Unsafe)];
}

#[derive(Clone, Copy, Debug)]
struct GroupWord(KeyScope);

impl Choice for GroupWord {
    const CHOICES: &'static [(&'static str, GroupWord)] = &[
        ("all", GroupWord(KeyScope::All)),
        ("zone", GroupWord(KeyScope::Zone)),
        ("rack", GroupWord(KeyScope::Cell)),
    ];
}

/// The longest day, and the latest moment of one.
const LONGEST: Duration = Duration::from_secs(24 * 3600);
const SHARE: std::ops::RangeInclusive<f64> = 0.0..=1.0;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// See [`Script::parse`].
pub(super) fn script(file: &str, text: &str) -> Result<Script, Problems> {
    let document = Document::parse(file, text)?;
    let root = document.root();
    let name = root.require::<String>("name").unwrap_or_default();
    let about = root.get_or("about", String::new());
    let lasts = root.get_in_range("lasts", ms(100)..=LONGEST, ms(20_000));
    let (fleet, load, clients) = (fleet(&root), load(&root), clients(&root));
    let classes = classes(&root);
    let tenants = tenants(&root);
    let (register, network, limits) = (register(&root), network(&root), limits(&root));
    let events = events(&root, &fleet, &classes, lasts);
    root.finish();
    document.check(Script {
        name,
        about,
        lasts,
        fleet,
        load,
        clients,
        classes,
        tenants,
        register,
        network,
        limits,
        events,
    })
}

/// A table of the file, read by `read`; where it is left out, what an empty one gives.
fn section<T>(root: &Table<'_, '_>, key: &str, read: impl Fn(&Table<'_, '_>) -> T) -> T {
    match root.table(key) {
        Some(table) => {
            let value = read(&table);
            table.finish();
            value
        }
        None => match Document::parse("", "") {
            Ok(empty) => read(&empty.root()),
            Err(_) => unreachable!("an empty text is an empty table"),
        },
    }
}

/// So many gateway processes run on a small machine beside the rig.
const CARRIED: usize = 12;

fn fleet(root: &Table<'_, '_>) -> Fleet {
    section(root, "fleet", |t| {
        let zones = t.get_or("zones", vec!["via-dante".to_owned(), "zona-nord".to_owned()]);
        if zones.is_empty() {
            t.report("zones", "names no zone");
        }
        let zones = if zones.is_empty() { vec!["a".to_owned()] } else { zones };
        let gateways = t.get_in_range("gateways", 1..=1000, 45u64) as usize;
        // What was asked for, as far as one machine carries it; two suffice where nobody asked.
        let carried = if t.contains("gateways") { gateways.min(CARRIED) } else { 2 };
        let on_sockets = t.get_in_range("on_sockets", 1..=1000, carried as u64) as usize;
        let told = t.get_in_range("told", 0.01..=100.0, 1.0);
        let joining = fewer_than(t, "joining", gateways);
        let joins_at = t.get_in_range("joins_at", Duration::ZERO..=LONGEST, ms(10_000));
        let killed = fewer_than(t, "killed", gateways);
        let killed_at = t.get_in_range("killed_at", Duration::ZERO..=LONGEST, ms(10_000));
        let back_after = t.get_in_range("back_after", ms(1)..=LONGEST, ms(3000));
        let noticed = t.get_in_range("noticed", Duration::ZERO..=LONGEST, ms(2000));
        let nodes = t.get_in_range("nodes", 1..=1000, 12u64) as usize;
        let rack = t.get_in_range("rack", 1..=1000, 3u64) as usize;
        let tables = t.tables("kind");
        let mut kinds: Vec<Kind> = tables.iter().map(kind).collect();
        if kinds.is_empty() {
            kinds = defaults::kinds();
            // What is said of all nodes stands beside them.
            kinds.iter_mut().for_each(|k| node(t, k));
        }
        if kinds.iter().map(|k| k.share).sum::<f64>() <= 0.0 {
            t.report("kind", "the shares of all kinds together are 0");
        }
        Fleet {
            zones,
            gateways,
            on_sockets,
            told,
            joining,
            joins_at,
            killed,
            killed_at,
            back_after,
            noticed,
            nodes,
            rack,
            kinds,
        }
    })
}

/// How many of the gateways something happens to: never to all.
fn fewer_than(t: &Table<'_, '_>, key: &str, gateways: usize) -> usize {
    let count = t.get_in_range(key, 0..=999, 0u64) as usize;
    if count >= gateways {
        t.report(key, format!("must be less than gateways, which is {gateways}: somebody has to serve"));
    }
    count
}

fn kind(t: &Table<'_, '_>) -> Kind {
    let name = t.require::<String>("name").unwrap_or_default();
    let share = t.get_in_range("share", SHARE, 1.0);
    let mut kind = defaults::kind(&name, share, (1.0, 1.0));
    node(t, &mut kind);
    t.finish();
    kind
}

/// What may be said of a kind of nodes, or of all of them.
fn node(t: &Table<'_, '_>, kind: &mut Kind) {
    kind.speed = positive(t, "speed", kind.speed);
    kind.report_every = t.get_or("report_every", kind.report_every);
    if kind.report_every.0 < ms(1) {
        t.report("report_every", "is under 1ms");
        kind.report_every = (ms(1), ms(1));
    }
    kind.report_late = t.get_or("report_late", kind.report_late);
    let s = &mut kind.spec;
    s.report.noise = t.get_in_range("report_noise", SHARE, s.report.noise);
    s.cores = t.get_in_range("cores", 1..=256, u64::from(s.cores)) as u32;
    s.slots = t.get_in_range("slots", 1..=100_000, u64::from(s.slots)) as u32;
    s.queue = t.get_in_range("queue", 0..=1_000_000, u64::from(s.queue)) as u32;
    s.crowding = t.get_in_range("crowding", 0.0..=0.95, s.crowding);
    s.crowded_at = t.get_in_range("crowded_at", 0.0..=1e6, s.crowded_at);
    s.cold_from = t.get_in_range("cold_from", 0.01..=1.0, s.cold_from);
    s.cold_for = t.get_in_range("cold_for", ms(1)..=LONGEST, s.cold_for);
    s.warm_by = t.get_or("warm_by", s.warm_by);
    s.fall_at = t.get_in_range("fall_at", 0.1..=1e6, s.fall_at);
    s.fall_over = t.get_in_range("fall_over", ms(10)..=LONGEST, s.fall_over);
    s.grants_chance = t.get_or("grants_chance", s.grants_chance);
    s.error_rate = t.get_in_range("error_rate", SHARE, s.error_rate);
    s.connections = t.get_in_range("connections", 1..=1_000_000, u64::from(s.connections)) as u32;
    s.handshake = t
        .get_in_range("handshake", Duration::ZERO..=ms(10_000), Duration::from_secs_f64(s.handshake))
        .as_secs_f64();
    s.connection_tax = t.get_in_range("connection_tax", 0.0..=0.95, s.connection_tax);
    s.keep_alive = t.get_in_range("keep_alive", ms(10)..=LONGEST, s.keep_alive);
    s.drops_expired = t.get_or("drops_expired", s.drops_expired);
    s.cancels = t.get_or("cancels", s.cancels);
    s.key_gain = t.get_in_range("key_gain", 0.0..=0.99, s.key_gain);
    s.key_for = t.get_in_range("key_for", Duration::ZERO..=LONGEST, s.key_for);
    s.key_places = t.get_in_range("key_places", 0..=100_000, s.key_places as u64) as usize;
    if let Some(t) = t.table("choke") {
        let d = s.choke.unwrap_or_else(defaults::choke);
        s.choke = Some(ChokeSpec {
            at: t.get_in_range("at", 0.0..=1e6, d.at),
            over: t.get_in_range("over", ms(10)..=LONGEST, d.over),
            slower: t.get_in_range("slower", 1.0..=1000.0, d.slower),
            below: t.get_in_range("below", SHARE, d.below),
            rest: t.get_in_range("rest", ms(10)..=LONGEST, d.rest),
            most: t.get_in_range("most", ms(10)..=LONGEST, d.most),
        });
        t.finish();
    }
    if let Some(t) = t.table("pause") {
        let d = s.pause.unwrap_or(PauseSpec { every: ms(7000), lasts: ms(20), grows: 0.0 });
        let every = t.get_in_range("every", ms(10)..=LONGEST, d.every);
        let lasts = t.get_in_range("lasts", Duration::ZERO..=LONGEST, d.lasts);
        s.pause = Some(PauseSpec { every, lasts, grows: t.get_in_range("grows", 0.0..=100.0, d.grows) });
        t.finish();
    }
}

/// A range of numbers above 0.
fn positive(t: &Table<'_, '_>, key: &str, otherwise: (f64, f64)) -> (f64, f64) {
    let range: (f64, f64) = t.get_or(key, otherwise);
    if range.0 > 0.0 {
        return range;
    }
    t.report(key, "is to be above 0");
    otherwise
}

fn load(root: &Table<'_, '_>) -> Load {
    section(root, "load", |t| Load {
        rate: t.get_in_range("rate", 0.1..=1e6, 300.0),
        shape: t.get_or("shape", Shape::Steady),
        swing: t.get_in_range("swing", SHARE, 0.12),
        period: t.get_in_range("period", ms(100)..=LONGEST, ms(10_000)),
        keys: t.get_in_range("keys", 0..=10_000_000, 2400) as usize,
        skew: t.get_in_range("skew", 0.0..=5.0, 0.75),
        worth_by_work: t.get_or("worth_by_work", false),
        zone_skew: t.get_in_range("zone_skew", 0.0..=10.0, 0.25),
        uneven: t.get_in_range("uneven", 1..=1000, 1u64) as usize,
    })
}

fn clients(root: &Table<'_, '_>) -> Clients {
    section(root, "clients", |t| {
        let try_share: (f64, f64) = t.get_or("try_share", (0.5, 0.6));
        if try_share.0 <= 0.0 || try_share.1 > 1.0 {
            t.report("try_share", "is to lie above 0 and not above 1");
        }
        Clients {
            retries: t.get_in_range("retries", 0..=100, 2) as u32,
            try_share,
            wait: t.get_in_range("wait", Duration::ZERO..=LONGEST, ms(40)),
            heed: t.get_in_range("heed", SHARE, 0.2),
            hints: t.get_or("hints", false),
            fresh_connections: t.get_in_range("fresh_connections", SHARE, 0.0),
        }
    })
}

fn classes(root: &Table<'_, '_>) -> Vec<Class> {
    let tables = root.tables("class");
    if tables.is_empty() {
        return defaults::classes();
    }
    let mut classes = Vec::new();
    for t in &tables {
        let group = t.get_or("group", GroupWord(KeyScope::All)).0;
        let window = t.get_in_range("window", Duration::ZERO..=LONGEST, ms(1200));
        let effect = match t.get_or("effect", EffectWord::Safe) {
            EffectWord::Safe => Idempotency::Idempotent,
            EffectWord::Unsafe => Idempotency::NotIdempotent,
            EffectWord::Keyed => Idempotency::IdempotencyKey { scope: group, window },
        };
        if !matches!(effect, Idempotency::IdempotencyKey { .. }) {
            for key in ["group", "window"].into_iter().filter(|key| t.contains(key)) {
                t.report(key, "goes with effect = \"keyed\" only");
            }
        }
        let aim = t.get_in_range("aim", ms(1)..=LONGEST, ms(300));
        let deadline = t.get_in_range("deadline", ms(1)..=LONGEST, ms(1200));
        if aim > deadline {
            t.report("aim", "is longer than the deadline");
        }
        classes.push(Class {
            name: t.require::<String>("name").unwrap_or_default(),
            share: t.get_in_range("share", SHARE, 1.0),
            work: t.get_in_range("work", Duration::from_micros(1)..=LONGEST, ms(50)),
            distribution: t.get_or("distribution", Distribution::LogNormal),
            spread: t.get_in_range("spread", 0.0..=20.0, 0.5),
            attempt_spread: t.get_in_range("attempt_spread", 0.0..=20.0, 0.2),
            aim,
            deadline,
            worth: t.get_in_range("worth", 0.0..=1e6, 1.0),
            effect,
        });
        t.finish();
    }
    if classes.iter().map(|c| c.share).sum::<f64>() <= 0.0 {
        root.report("class", "the shares of all classes together are 0");
    }
    classes
}

fn tenants(root: &Table<'_, '_>) -> Vec<Tenant> {
    let tables = root.tables("tenant");
    if tables.is_empty() {
        return defaults::tenants();
    }
    let tenant = |t: &Table<'_, '_>| {
        let tenant = Tenant {
            name: t.require::<String>("name").unwrap_or_default(),
            share: t.get_in_range("share", SHARE, 1.0),
            usage: t.get_in_range("usage", 0.0..=1000.0, 1.0),
        };
        t.finish();
        tenant
    };
    let tenants: Vec<Tenant> = tables.iter().map(tenant).collect();
    if tenants.iter().map(|t| t.share * t.usage).sum::<f64>() <= 0.0 {
        root.report("tenant", "all tenants together ask nothing");
    }
    tenants
}

fn register(root: &Table<'_, '_>) -> Register {
    section(root, "register", |t| Register {
        notice: t.get_or("notice", (ms(1000), ms(3000))),
        silent_notice: t.get_or("silent_notice", (ms(4000), ms(8000))),
        call: t.get_in_range("call", Duration::ZERO..=ms(60_000), ms(5)),
        timeout: t.get_in_range("timeout", ms(1)..=ms(600_000), ms(2000)),
        pushed: t.get_or("pushed", false),
        weights: weights(t),
    })
}

fn weights(t: &Table<'_, '_>) -> Option<LiveWeights> {
    if !t.contains("weights_every") {
        if t.contains("weights_late") {
            t.report("weights_late", "goes with weights_every only");
        }
        return None;
    }
    let every = t.get_in_range("weights_every", ms(10)..=LONGEST, ms(750));
    Some(LiveWeights { every, late: t.get_in_range("weights_late", Duration::ZERO..=LONGEST, ms(250)) })
}

fn network(root: &Table<'_, '_>) -> Network {
    section(root, "network", |t| Network {
        client: t.get_in_range("client", Duration::ZERO..=ms(10_000), Duration::from_micros(900)),
        same: t.get_in_range("same", Duration::ZERO..=ms(10_000), Duration::from_micros(180)),
        cross: t.get_in_range("cross", Duration::ZERO..=ms(10_000), ms(1)),
        jitter: t.get_in_range("jitter", SHARE, 0.15),
    })
}

fn limits(root: &Table<'_, '_>) -> Limits {
    section(root, "limits", |t| Limits {
        memory_mb: t.get_in_range("memory_mb", 16..=1_000_000, 192),
        sockets: t.get_in_range("sockets", 48..=1_000_000, 1024),
        attempts: t.get_in_range("attempts", 1..=100, 6),
        retry_after: t.get("retry_after"),
        dial: t.get_in_range("dial", ms(1)..=ms(60_000), ms(100)),
        drain_grace: t.get_in_range("drain_grace", ms(1)..=ms(60_000), ms(2000)),
    })
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Kinds {
    Fail,
    Neighbour,
    Heavy,
    Slow,
    Pause,
    Kill,
    CutOff,
    Restart,
    Drain,
    LetGo,
    RegisterDown,
    Surge,
    Report,
}

impl Choice for Kinds {
    const CHOICES: &'static [(&'static str, Kinds)] = &[
        ("fail", Kinds::Fail),
        ("neighbour", Kinds::Neighbour),
        ("heavy", Kinds::Heavy),
        ("slow", Kinds::Slow),
        ("pause", Kinds::Pause),
        ("kill", Kinds::Kill),
        ("cut-off", Kinds::CutOff),
        ("restart", Kinds::Restart),
        ("drain", Kinds::Drain),
        ("let-go", Kinds::LetGo),
        ("register-down", Kinds::RegisterDown),
        ("surge", Kinds::Surge),
        ("report", Kinds::Report),
    ];
}

fn events(root: &Table<'_, '_>, fleet: &Fleet, classes: &[Class], lasts: Duration) -> Vec<Event> {
    root.tables("event").iter().filter_map(|t| event(t, fleet, classes, lasts)).collect()
}

fn event(t: &Table<'_, '_>, fleet: &Fleet, classes: &[Class], day: Duration) -> Option<Event> {
    let at = t.require::<Duration>("at");
    if at.is_some_and(|at| at >= day) {
        t.report("at", format!("lies behind the end of the day, which lasts {day:?}"));
    }
    let lasts: Option<Duration> = t.get("lasts");
    let kind = t.require::<Kinds>("what");
    let whom = whom(t, fleet);
    let names_nodes = ["nodes", "zone", "share"].iter().any(|key| t.contains(key));
    let what = match kind? {
        Kinds::Fail => What::Fail { share: t.get_in_range("part", SHARE, 0.7) },
        Kinds::Neighbour => {
            let takes = t.get_in_range("takes", 0.0..=0.99, 0.5);
            let turns: (Duration, Duration) = t.get_or("turns", (ms(1200), ms(4300)));
            if turns.0 < ms(10) {
                t.report("turns", "is under 10ms");
            }
            What::Neighbour { takes, turns: (turns.0.max(ms(10)), turns.1.max(ms(10))) }
        }
        Kinds::Heavy => {
            let class = t.require::<String>("class").unwrap_or_default();
            let place = classes.iter().position(|c| c.name == class);
            if place.is_none() && t.contains("class") {
                let names: Vec<_> = classes.iter().map(|c| c.name.as_str()).collect();
                t.report("class", format!("{class:?} is no class; there are {}", names.join(", ")));
            }
            let part = t.get_in_range("part", SHARE, 0.02);
            What::Heavy { class: place.unwrap_or(0), part, times: positive(t, "times", (8.0, 27.0)) }
        }
        Kinds::Slow => What::Slow { times: t.get_in_range("times", 1.0..=1000.0, 3.0) },
        Kinds::Pause => What::Pause,
        Kinds::Kill => What::Kill,
        Kinds::CutOff => What::CutOff,
        Kinds::Restart => {
            let gone = t.get_in_range("gone", Duration::ZERO..=LONGEST, ms(500));
            What::Restart { gone, apart: t.get_in_range("apart", Duration::ZERO..=LONGEST, Duration::ZERO) }
        }
        Kinds::Drain => What::Drain,
        Kinds::LetGo => {
            let after = t.get_in_range("after", ms(10)..=LONGEST, ms(1000));
            What::LetGo { after, silently: t.get_or("silently", false) }
        }
        Kinds::RegisterDown => {
            let names: Vec<String> = t.get_or("without", Vec::new());
            What::RegisterDown { without: numbers(t, "without", &names, fleet) }
        }
        Kinds::Report => What::Report {
            qps: t.get_in_range("qps", 0.0..=1e9, 1e6),
            inflight: t.get_in_range("inflight", 0.0..=1e9, 0.0),
        },
        Kinds::Surge => What::Surge { times: t.get_in_range("times", 0.0..=1000.0, 2.0) },
    };
    if names_nodes && matches!(what, What::Heavy { .. } | What::RegisterDown { .. } | What::Surge { .. }) {
        t.report("what", "meets no nodes: leave nodes, zone and share out");
    }
    if lasts.is_none() && matches!(what, What::Pause) {
        t.report("what", "needs lasts, or the nodes do nothing for ever");
    }
    if lasts.is_some() && matches!(what, What::Restart { .. }) {
        t.report("lasts", "goes with other events; say how long each node is gone with gone");
    }
    t.finish();
    Some(Event { at: at?, lasts, whom, what })
}

fn whom(t: &Table<'_, '_>, fleet: &Fleet) -> Whom {
    let given: Vec<&str> = ["nodes", "zone", "share"].into_iter().filter(|key| t.contains(key)).collect();
    if let [_, second, ..] = given[..] {
        t.report(second, format!("say who is met once: {} stand here", given.join(" and ")));
    }
    if let Some(names) = t.get::<Vec<String>>("nodes") {
        return Whom::Nodes(numbers(t, "nodes", &names, fleet));
    }
    if let Some(zone) = t.get::<String>("zone") {
        match fleet.zones.iter().position(|z| *z == zone) {
            Some(place) => return Whom::Zone(place),
            None => t.report("zone", format!("{zone:?} is no zone; there are {}", fleet.zones.join(", "))),
        }
    }
    if t.contains("share") {
        return Whom::Share(t.get_in_range("share", SHARE, 0.0));
    }
    Whom::All
}

/// The numbers of nodes that are named `n00` and so on.
fn numbers(t: &Table<'_, '_>, key: &str, names: &[String], fleet: &Fleet) -> Vec<usize> {
    let number =
        |name: &String| name.strip_prefix('n').and_then(|n| n.parse().ok()).filter(|&n| n < fleet.nodes);
    let wrong = names.iter().find(|name| number(name).is_none());
    if let Some(name) = wrong {
        t.report(key, format!("{name:?} is no node; they are n00 to n{:02}", fleet.nodes - 1));
    }
    names.iter().filter_map(number).collect()
}
