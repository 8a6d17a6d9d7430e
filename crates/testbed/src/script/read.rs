//! Reads a scenario script from TOML and reports every error in it.

use super::{
    defaults, Class, Clients, Discovery, Event, FaultKind, Fleet, Kind, Limits, LiveWeights, Load, Network,
    Script, Shape, Target, Tenant,
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
enum IdempotencyChoice {
    Safe,
    Keyed,
    Unsafe,
}

impl Choice for IdempotencyChoice {
    const CHOICES: &'static [(&'static str, IdempotencyChoice)] = &[
        ("safe", IdempotencyChoice::Safe),
        ("keyed", IdempotencyChoice::Keyed),
        ("unsafe", IdempotencyChoice::Unsafe),
    ];
}

#[derive(Clone, Copy, Debug)]
struct KeyScopeChoice(KeyScope);

impl Choice for KeyScopeChoice {
    const CHOICES: &'static [(&'static str, KeyScopeChoice)] = &[
        ("all", KeyScopeChoice(KeyScope::All)),
        ("zone", KeyScopeChoice(KeyScope::Zone)),
        ("rack", KeyScopeChoice(KeyScope::Cell)),
    ];
}

/// The longest duration and the latest time that a script may contain.
const MAX_DURATION: Duration = Duration::from_secs(24 * 3600);
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
    let lasts = root.get_in_range("lasts", ms(100)..=MAX_DURATION, ms(20_000));
    let (fleet, load, clients) = (fleet(&root), load(&root), clients(&root));
    let classes = classes(&root);
    let tenants = tenants(&root);
    let (discovery, network, limits) = (discovery(&root), network(&root), limits(&root));
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
        discovery,
        network,
        limits,
        events,
    })
}

/// Reads a table of the script with `read`; a missing table is read as an empty one, so that every key has its default.
fn section<T>(root: &Table<'_, '_>, key: &str, read: impl Fn(&Table<'_, '_>) -> T) -> T {
    match root.table(key) {
        Some(table) => {
            let value = read(&table);
            table.finish();
            value
        }
        None => match Document::parse("", "") {
            Ok(empty) => read(&empty.root()),
            Err(_) => unreachable!("an empty text is valid TOML"),
        },
    }
}

/// Greatest default number of gateway processes: a small machine can run this many beside the test bed.
const MAX_DEFAULT_PROCESSES: usize = 12;

fn fleet(root: &Table<'_, '_>) -> Fleet {
    section(root, "fleet", |table| {
        let zones = table.get_or("zones", vec!["via-dante".to_owned(), "zona-nord".to_owned()]);
        if zones.is_empty() {
            table.report("zones", "must name at least one zone");
        }
        let zones = if zones.is_empty() { vec!["a".to_owned()] } else { zones };
        let gateways = table.get_in_range("gateways", 1..=1000, 45u64) as usize;
        // By default as many processes as the script has gateways, up to what one machine can run; two where the script names no number.
        let carried = if table.contains("gateways") { gateways.min(MAX_DEFAULT_PROCESSES) } else { 2 };
        let on_sockets = table.get_in_range("on_sockets", 1..=1000, carried as u64) as usize;
        let gateway_count_factor = table.get_in_range("told", 0.01..=100.0, 1.0);
        let late_gateways = fewer_than(table, "joining", gateways);
        let late_start_at = table.get_in_range("joins_at", Duration::ZERO..=MAX_DURATION, ms(10_000));
        let killed_gateways = fewer_than(table, "killed", gateways);
        let killed_at = table.get_in_range("killed_at", Duration::ZERO..=MAX_DURATION, ms(10_000));
        let restart_delay = table.get_in_range("back_after", ms(1)..=MAX_DURATION, ms(3000));
        let failover_delay = table.get_in_range("noticed", Duration::ZERO..=MAX_DURATION, ms(2000));
        let nodes = table.get_in_range("nodes", 1..=1000, 12u64) as usize;
        let rack = table.get_in_range("rack", 1..=1000, 3u64) as usize;
        let tables = table.tables("kind");
        let mut kinds: Vec<Kind> = tables.iter().map(kind).collect();
        if kinds.is_empty() {
            kinds = defaults::kinds();
            // Without tables of kinds, the keys of the table `fleet` apply to the endpoints of all default kinds.
            kinds.iter_mut().for_each(|kind| read_endpoint(table, kind));
        }
        if kinds.iter().map(|kind| kind.share).sum::<f64>() <= 0.0 {
            table.report("kind", "the shares of all kinds together are 0");
        }
        Fleet {
            zones,
            gateways,
            on_sockets,
            gateway_count_factor,
            late_gateways,
            late_start_at,
            killed_gateways,
            killed_at,
            restart_delay,
            failover_delay,
            nodes,
            rack,
            kinds,
        }
    })
}

/// Reads a number of gateways that must be less than all gateways, so that some gateway always serves.
fn fewer_than(table: &Table<'_, '_>, key: &str, gateways: usize) -> usize {
    let count = table.get_in_range(key, 0..=999, 0u64) as usize;
    if count >= gateways {
        table.report(
            key,
            format!("must be less than gateways, which is {gateways}: some gateway has to serve"),
        );
    }
    count
}

fn kind(table: &Table<'_, '_>) -> Kind {
    let name = table.require::<String>("name").unwrap_or_default();
    let share = table.get_in_range("share", SHARE, 1.0);
    let mut kind = defaults::kind(&name, share, (1.0, 1.0));
    read_endpoint(table, &mut kind);
    table.finish();
    kind
}

/// Reads the properties of a kind of endpoints, or of all endpoints; a missing key leaves the property as it is.
fn read_endpoint(table: &Table<'_, '_>, kind: &mut Kind) {
    kind.speed = positive(table, "speed", kind.speed);
    kind.report_every = table.get_or("report_every", kind.report_every);
    if kind.report_every.0 < ms(1) {
        table.report("report_every", "is under 1ms");
        kind.report_every = (ms(1), ms(1));
    }
    kind.report_late = table.get_or("report_late", kind.report_late);
    let spec = &mut kind.spec;
    spec.report.noise = table.get_in_range("report_noise", SHARE, spec.report.noise);
    spec.cores = table.get_in_range("cores", 1..=256, u64::from(spec.cores)) as u32;
    spec.slots = table.get_in_range("slots", 1..=100_000, u64::from(spec.slots)) as u32;
    spec.queue = table.get_in_range("queue", 0..=1_000_000, u64::from(spec.queue)) as u32;
    spec.crowding = table.get_in_range("crowding", 0.0..=0.95, spec.crowding);
    spec.crowded_at = table.get_in_range("crowded_at", 0.0..=1e6, spec.crowded_at);
    spec.cold_from = table.get_in_range("cold_from", 0.01..=1.0, spec.cold_from);
    spec.cold_for = table.get_in_range("cold_for", ms(1)..=MAX_DURATION, spec.cold_for);
    spec.warm_by = table.get_or("warm_by", spec.warm_by);
    spec.fall_at = table.get_in_range("fall_at", 0.1..=1e6, spec.fall_at);
    spec.fall_over = table.get_in_range("fall_over", ms(10)..=MAX_DURATION, spec.fall_over);
    spec.grants_chance = table.get_or("grants_chance", spec.grants_chance);
    spec.error_rate = table.get_in_range("error_rate", SHARE, spec.error_rate);
    spec.connections = table.get_in_range("connections", 1..=1_000_000, u64::from(spec.connections)) as u32;
    spec.handshake = table
        .get_in_range("handshake", Duration::ZERO..=ms(10_000), Duration::from_secs_f64(spec.handshake))
        .as_secs_f64();
    spec.connection_tax = table.get_in_range("connection_tax", 0.0..=0.95, spec.connection_tax);
    spec.keep_alive = table.get_in_range("keep_alive", ms(10)..=MAX_DURATION, spec.keep_alive);
    spec.drops_expired = table.get_or("drops_expired", spec.drops_expired);
    spec.cancels = table.get_or("cancels", spec.cancels);
    spec.key_gain = table.get_in_range("key_gain", 0.0..=0.99, spec.key_gain);
    spec.key_for = table.get_in_range("key_for", Duration::ZERO..=MAX_DURATION, spec.key_for);
    spec.key_places = table.get_in_range("key_places", 0..=100_000, spec.key_places as u64) as usize;
    if let Some(table) = table.table("choke") {
        let default = spec.choke.unwrap_or_else(defaults::choke);
        spec.choke = Some(ChokeSpec {
            at: table.get_in_range("at", 0.0..=1e6, default.at),
            over: table.get_in_range("over", ms(10)..=MAX_DURATION, default.over),
            slower: table.get_in_range("slower", 1.0..=1000.0, default.slower),
            below: table.get_in_range("below", SHARE, default.below),
            rest: table.get_in_range("rest", ms(10)..=MAX_DURATION, default.rest),
            most: table.get_in_range("most", ms(10)..=MAX_DURATION, default.most),
        });
        table.finish();
    }
    if let Some(table) = table.table("pause") {
        let default = spec.pause.unwrap_or(PauseSpec { every: ms(7000), lasts: ms(20), grows: 0.0 });
        let every = table.get_in_range("every", ms(10)..=MAX_DURATION, default.every);
        let lasts = table.get_in_range("lasts", Duration::ZERO..=MAX_DURATION, default.lasts);
        spec.pause =
            Some(PauseSpec { every, lasts, grows: table.get_in_range("grows", 0.0..=100.0, default.grows) });
        table.finish();
    }
}

/// Reads a range of numbers above 0; `otherwise` is the range where the key is missing or invalid.
fn positive(table: &Table<'_, '_>, key: &str, otherwise: (f64, f64)) -> (f64, f64) {
    let range: (f64, f64) = table.get_or(key, otherwise);
    if range.0 > 0.0 {
        return range;
    }
    table.report(key, "must be above 0");
    otherwise
}

fn load(root: &Table<'_, '_>) -> Load {
    section(root, "load", |table| Load {
        rate: table.get_in_range("rate", 0.1..=1e6, 300.0),
        shape: table.get_or("shape", Shape::Steady),
        swing: table.get_in_range("swing", SHARE, 0.12),
        period: table.get_in_range("period", ms(100)..=MAX_DURATION, ms(10_000)),
        keys: table.get_in_range("keys", 0..=10_000_000, 2400) as usize,
        skew: table.get_in_range("skew", 0.0..=5.0, 0.75),
        weight_by_work: table.get_or("worth_by_work", false),
        zone_skew: table.get_in_range("zone_skew", 0.0..=10.0, 0.25),
        uneven: table.get_in_range("uneven", 1..=1000, 1u64) as usize,
    })
}

fn clients(root: &Table<'_, '_>) -> Clients {
    section(root, "clients", |table| {
        let timeout_share: (f64, f64) = table.get_or("try_share", (0.5, 0.6));
        if timeout_share.0 <= 0.0 || timeout_share.1 > 1.0 {
            table.report("try_share", "must be above 0 and at most 1");
        }
        Clients {
            retries: table.get_in_range("retries", 0..=100, 2) as u32,
            timeout_share,
            retry_wait: table.get_in_range("wait", Duration::ZERO..=MAX_DURATION, ms(40)),
            retry_after_share: table.get_in_range("heed", SHARE, 0.2),
            send_cost_hints: table.get_or("hints", false),
            fresh_connections: table.get_in_range("fresh_connections", SHARE, 0.0),
        }
    })
}

fn classes(root: &Table<'_, '_>) -> Vec<Class> {
    let tables = root.tables("class");
    if tables.is_empty() {
        return defaults::classes();
    }
    let mut classes = Vec::new();
    for table in &tables {
        let group = table.get_or("group", KeyScopeChoice(KeyScope::All)).0;
        let window = table.get_in_range("window", Duration::ZERO..=MAX_DURATION, ms(1200));
        let idempotency = match table.get_or("effect", IdempotencyChoice::Safe) {
            IdempotencyChoice::Safe => Idempotency::Idempotent,
            IdempotencyChoice::Unsafe => Idempotency::NotIdempotent,
            IdempotencyChoice::Keyed => Idempotency::IdempotencyKey { scope: group, window },
        };
        if !matches!(idempotency, Idempotency::IdempotencyKey { .. }) {
            for key in ["group", "window"].into_iter().filter(|key| table.contains(key)) {
                table.report(key, "is allowed with effect = \"keyed\" only");
            }
        }
        let latency_objective = table.get_in_range("aim", ms(1)..=MAX_DURATION, ms(300));
        let deadline = table.get_in_range("deadline", ms(1)..=MAX_DURATION, ms(1200));
        if latency_objective > deadline {
            table.report("aim", "is longer than the deadline");
        }
        classes.push(Class {
            name: table.require::<String>("name").unwrap_or_default(),
            share: table.get_in_range("share", SHARE, 1.0),
            work: table.get_in_range("work", Duration::from_micros(1)..=MAX_DURATION, ms(50)),
            distribution: table.get_or("distribution", Distribution::LogNormal),
            spread: table.get_in_range("spread", 0.0..=20.0, 0.5),
            attempt_spread: table.get_in_range("attempt_spread", 0.0..=20.0, 0.2),
            latency_objective,
            deadline,
            priority_weight: table.get_in_range("worth", 0.0..=1e6, 1.0),
            idempotency,
        });
        table.finish();
    }
    if classes.iter().map(|class| class.share).sum::<f64>() <= 0.0 {
        root.report("class", "the shares of all classes together are 0");
    }
    classes
}

fn tenants(root: &Table<'_, '_>) -> Vec<Tenant> {
    let tables = root.tables("tenant");
    if tables.is_empty() {
        return defaults::tenants();
    }
    let tenant = |table: &Table<'_, '_>| {
        let tenant = Tenant {
            name: table.require::<String>("name").unwrap_or_default(),
            share: table.get_in_range("share", SHARE, 1.0),
            usage: table.get_in_range("usage", 0.0..=1000.0, 1.0),
        };
        table.finish();
        tenant
    };
    let tenants: Vec<Tenant> = tables.iter().map(tenant).collect();
    if tenants.iter().map(|tenant| tenant.share * tenant.usage).sum::<f64>() <= 0.0 {
        root.report("tenant", "the tenants together send no requests");
    }
    tenants
}

fn discovery(root: &Table<'_, '_>) -> Discovery {
    section(root, "register", |table| Discovery {
        notice_delay: table.get_or("notice", (ms(1000), ms(3000))),
        silent_notice_delay: table.get_or("silent_notice", (ms(4000), ms(8000))),
        call_time: table.get_in_range("call", Duration::ZERO..=ms(60_000), ms(5)),
        timeout: table.get_in_range("timeout", ms(1)..=ms(600_000), ms(2000)),
        pushed: table.get_or("pushed", false),
        weights: weights(table),
    })
}

fn weights(table: &Table<'_, '_>) -> Option<LiveWeights> {
    if !table.contains("weights_every") {
        if table.contains("weights_late") {
            table.report("weights_late", "is allowed with weights_every only");
        }
        return None;
    }
    let every = table.get_in_range("weights_every", ms(10)..=MAX_DURATION, ms(750));
    Some(LiveWeights {
        every,
        late: table.get_in_range("weights_late", Duration::ZERO..=MAX_DURATION, ms(250)),
    })
}

fn network(root: &Table<'_, '_>) -> Network {
    section(root, "network", |table| Network {
        client: table.get_in_range("client", Duration::ZERO..=ms(10_000), Duration::from_micros(900)),
        same_zone: table.get_in_range("same", Duration::ZERO..=ms(10_000), Duration::from_micros(180)),
        cross_zone: table.get_in_range("cross", Duration::ZERO..=ms(10_000), ms(1)),
        jitter: table.get_in_range("jitter", SHARE, 0.15),
    })
}

fn limits(root: &Table<'_, '_>) -> Limits {
    section(root, "limits", |table| Limits {
        memory_mb: table.get_in_range("memory_mb", 16..=1_000_000, 192),
        descriptors: table.get_in_range("sockets", 48..=1_000_000, 1024),
        max_attempts: table.get_in_range("attempts", 1..=100, 6),
        retry_after: table.get("retry_after"),
        connect_timeout: table.get_in_range("dial", ms(1)..=ms(60_000), ms(100)),
        drain_grace: table.get_in_range("drain_grace", ms(1)..=ms(60_000), ms(2000)),
    })
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum FaultChoice {
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

impl Choice for FaultChoice {
    const CHOICES: &'static [(&'static str, FaultChoice)] = &[
        ("fail", FaultChoice::Fail),
        ("neighbour", FaultChoice::Neighbour),
        ("heavy", FaultChoice::Heavy),
        ("slow", FaultChoice::Slow),
        ("pause", FaultChoice::Pause),
        ("kill", FaultChoice::Kill),
        ("cut-off", FaultChoice::CutOff),
        ("restart", FaultChoice::Restart),
        ("drain", FaultChoice::Drain),
        ("let-go", FaultChoice::LetGo),
        ("register-down", FaultChoice::RegisterDown),
        ("surge", FaultChoice::Surge),
        ("report", FaultChoice::Report),
    ];
}

fn events(root: &Table<'_, '_>, fleet: &Fleet, classes: &[Class], lasts: Duration) -> Vec<Event> {
    root.tables("event").iter().filter_map(|table| event(table, fleet, classes, lasts)).collect()
}

fn event(table: &Table<'_, '_>, fleet: &Fleet, classes: &[Class], run_lasts: Duration) -> Option<Event> {
    let at = table.require::<Duration>("at");
    if at.is_some_and(|at| at >= run_lasts) {
        table.report("at", format!("is not before the end of the run, which lasts {run_lasts:?}"));
    }
    let lasts: Option<Duration> = table.get("lasts");
    let kind = table.require::<FaultChoice>("what");
    let target = target(table, fleet);
    let names_nodes = ["nodes", "zone", "share"].iter().any(|key| table.contains(key));
    let fault = match kind? {
        FaultChoice::Fail => FaultKind::Fail { share: table.get_in_range("part", SHARE, 0.7) },
        FaultChoice::Neighbour => {
            let takes = table.get_in_range("takes", 0.0..=0.99, 0.5);
            let turns: (Duration, Duration) = table.get_or("turns", (ms(1200), ms(4300)));
            if turns.0 < ms(10) {
                table.report("turns", "is under 10ms");
            }
            FaultKind::Neighbour { takes, turns: (turns.0.max(ms(10)), turns.1.max(ms(10))) }
        }
        FaultChoice::Heavy => {
            let class = table.require::<String>("class").unwrap_or_default();
            let place = classes.iter().position(|candidate| candidate.name == class);
            if place.is_none() && table.contains("class") {
                let names: Vec<_> = classes.iter().map(|class| class.name.as_str()).collect();
                table.report(
                    "class",
                    format!("{class:?} is not a class of the script; its classes are {}", names.join(", ")),
                );
            }
            let part = table.get_in_range("part", SHARE, 0.02);
            FaultKind::Heavy { class: place.unwrap_or(0), part, times: positive(table, "times", (8.0, 27.0)) }
        }
        FaultChoice::Slow => FaultKind::Slow { times: table.get_in_range("times", 1.0..=1000.0, 3.0) },
        FaultChoice::Pause => FaultKind::Pause,
        FaultChoice::Kill => FaultKind::Kill,
        FaultChoice::CutOff => FaultKind::CutOff,
        FaultChoice::Restart => {
            let downtime = table.get_in_range("gone", Duration::ZERO..=MAX_DURATION, ms(500));
            FaultKind::Restart {
                downtime,
                apart: table.get_in_range("apart", Duration::ZERO..=MAX_DURATION, Duration::ZERO),
            }
        }
        FaultChoice::Drain => FaultKind::Drain,
        FaultChoice::LetGo => {
            let after = table.get_in_range("after", ms(10)..=MAX_DURATION, ms(1000));
            FaultKind::LetGo { after, silently: table.get_or("silently", false) }
        }
        FaultChoice::RegisterDown => {
            let names: Vec<String> = table.get_or("without", Vec::new());
            FaultKind::RegisterDown { without: numbers(table, "without", &names, fleet) }
        }
        FaultChoice::Report => FaultKind::Report {
            qps: table.get_in_range("qps", 0.0..=1e9, 1e6),
            inflight: table.get_in_range("inflight", 0.0..=1e9, 0.0),
        },
        FaultChoice::Surge => FaultKind::Surge { times: table.get_in_range("times", 0.0..=1000.0, 2.0) },
    };
    if names_nodes
        && matches!(fault, FaultKind::Heavy { .. } | FaultKind::RegisterDown { .. } | FaultKind::Surge { .. })
    {
        table.report("what", "affects no endpoints: leave out nodes, zone and share");
    }
    if lasts.is_none() && matches!(fault, FaultKind::Pause) {
        table.report("what", "needs lasts, or the endpoints would do nothing for ever");
    }
    if lasts.is_some() && matches!(fault, FaultKind::Restart { .. }) {
        table.report("lasts", "is not allowed with this event; set the time without each endpoint with gone");
    }
    table.finish();
    Some(Event { at: at?, lasts, target, fault })
}

fn target(table: &Table<'_, '_>, fleet: &Fleet) -> Target {
    let given: Vec<&str> = ["nodes", "zone", "share"].into_iter().filter(|key| table.contains(key)).collect();
    if let [_, second, ..] = given[..] {
        table.report(
            second,
            format!("only one of nodes, zone and share is allowed: the event has {}", given.join(" and ")),
        );
    }
    if let Some(names) = table.get::<Vec<String>>("nodes") {
        return Target::Nodes(numbers(table, "nodes", &names, fleet));
    }
    if let Some(zone) = table.get::<String>("zone") {
        match fleet.zones.iter().position(|name| *name == zone) {
            Some(place) => return Target::Zone(place),
            None => table
                .report("zone", format!("{zone:?} is not a zone; the zones are {}", fleet.zones.join(", "))),
        }
    }
    if table.contains("share") {
        return Target::Share(table.get_in_range("share", SHARE, 0.0));
    }
    Target::All
}

/// Numbers of the endpoints with these names, which are `n00` and so on.
fn numbers(table: &Table<'_, '_>, key: &str, names: &[String], fleet: &Fleet) -> Vec<usize> {
    let number = |name: &String| {
        name.strip_prefix('n').and_then(|digits| digits.parse().ok()).filter(|&number| number < fleet.nodes)
    };
    let wrong = names.iter().find(|name| number(name).is_none());
    if let Some(name) = wrong {
        table.report(
            key,
            format!("{name:?} is not an endpoint; the endpoints are n00 to n{:02}", fleet.nodes - 1),
        );
    }
    names.iter().filter_map(number).collect()
}
