//! Default values of a scenario script: the booking service on an ordinary day, with the figures of its operators.

use super::{Class, Kind, Tenant};
use crate::model::{ChokeSpec, Distribution, EndpointSpec, PauseSpec, ReportSpec, WarmBy};
use std::time::Duration;
use weldworks_balancer::{Idempotency, KeyScope};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The four request classes of the booking service.
pub fn classes() -> Vec<Class> {
    let class = |name: &str, share, work, spread, aim, deadline, priority_weight, idempotency| Class {
        name: name.to_owned(),
        share,
        work: ms(work),
        distribution: Distribution::LogNormal,
        spread,
        attempt_spread: 0.2,
        latency_objective: ms(aim),
        deadline: ms(deadline),
        priority_weight,
        idempotency,
    };
    let keyed = |group| Idempotency::IdempotencyKey { scope: group, window: ms(1200) };
    vec![
        class("timetable", 0.34, 40, 0.45, 300, 1200, 2.0, Idempotency::Idempotent),
        class("room-status", 0.23, 45, 0.55, 200, 800, 3.0, Idempotency::Idempotent),
        class("enrol-pay", 0.22, 57, 0.45, 300, 1200, 8.0, keyed(KeyScope::All)),
        class("book-room", 0.21, 77, 0.5, 600, 1200, 3.0, keyed(KeyScope::Cell)),
    ]
}

/// The tenants of the booking service: nine schools and ensembles.
pub fn tenants() -> Vec<Tenant> {
    let tenants = [
        ("civica-centro", 0.30),
        ("scuola-arcella", 0.16),
        ("scuola-portello", 0.13),
        ("scuola-guizza", 0.10),
        ("scuola-mortise", 0.07),
        ("scuola-brusegana", 0.07),
        ("banda-comunale", 0.06),
        ("coro-giovanile", 0.06),
        ("scuola-camin", 0.05),
    ];
    tenants.map(|(name, share)| Tenant { name: name.to_owned(), share, usage: 1.0 }).to_vec()
}

/// The three kinds of endpoints of the booking service, by the age of the machines.
pub fn kinds() -> Vec<Kind> {
    [("fast-2c", 0.37, (1.1, 1.5)), ("std-2c", 0.34, (0.85, 1.1)), ("old-2c", 0.29, (0.59, 0.8))]
        .map(|(name, share, speed)| kind(name, share, speed))
        .to_vec()
}

/// A kind of endpoints with default reports and properties.
pub fn kind(name: &str, share: f64, speed: (f64, f64)) -> Kind {
    Kind {
        name: name.to_owned(),
        share,
        speed,
        report_every: (ms(440), ms(1000)),
        report_late: (ms(220), ms(460)),
        spec: endpoint(),
    }
}

/// Default properties of an endpoint.
fn endpoint() -> EndpointSpec {
    EndpointSpec {
        cores: 2,
        speed: 1.0,
        slots: 16,
        queue: 400,
        crowding: 0.0,
        crowded_at: 6.0,
        cold_from: 0.2,
        cold_for: ms(15_000),
        warm_by: WarmBy::Time,
        fall_at: 2.5,
        fall_over: ms(2000),
        grants_chance: false,
        mean_work: 0.0, // set later, from the request classes
        choke: None,
        pause: Some(PauseSpec { every: ms(7000), lasts: ms(20), grows: 0.5 }),
        error_rate: 0.0005,
        connections: 650,
        handshake: 0.0016,
        connection_tax: 0.1,
        keep_alive: ms(10_000),
        drops_expired: true,
        cancels: true,
        key_gain: 0.45,
        key_for: ms(8000),
        key_places: 80,
        repeat_work: 0.001,
        report: ReportSpec { period: ms(700), late: ms(340), noise: 0.03 },
    }
}

/// Default properties of an endpoint's choking, for a script that has a table `choke`.
pub fn choke() -> ChokeSpec {
    ChokeSpec { at: 7.0, over: ms(2000), slower: 2.7, below: 0.33, rest: ms(3500), most: ms(28_000) }
}
