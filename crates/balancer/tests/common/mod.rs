//! Settings, endpoints, gateways and checks that the tests have in common.
#![allow(dead_code)]

pub mod checker;
pub mod gateway;
pub mod random_run;

use std::time::Duration;
use weldworks_balancer::*;

/// The longest time for which a gateway may be suspended between reading its clock and writing.
pub const MAX_WRITE_DELAY: Duration = Duration::from_millis(150);
/// Number of endpoints in a random run.
pub const ENDPOINT_COUNT: u32 = 12;
/// Duration of slow start in the settings of the tests, in seconds.
pub const SLOW_START_S: f64 = 20.0;

/// Index of the class of [`settings`] that is idempotent.
pub const IDEMPOTENT_CLASS: usize = 0;
/// Index of the class of [`settings`] whose idempotency keys all endpoints share.
pub const KEYED_CLASS: usize = 1;
/// Index of the class of [`settings`] whose requests must not be processed twice.
pub const NOT_IDEMPOTENT_CLASS: usize = 4;

/// Settings with a request class for each kind of idempotency.
pub fn settings() -> Settings {
    let ms = Duration::from_millis;
    let class = |idempotency| RequestClass { idempotency, ..RequestClass::new(ms(300), ms(1200)) };
    let keyed = |scope| Idempotency::IdempotencyKey { scope, window: ms(500) };
    Settings {
        gateway_count: 4,
        classes: vec![
            class(Idempotency::Idempotent),
            class(keyed(KeyScope::All)),
            class(keyed(KeyScope::Zone)),
            class(keyed(KeyScope::Cell)),
            class(Idempotency::NotIdempotent),
            RequestClass { late_value_fraction: 0.3, ..class(Idempotency::NotIdempotent) },
        ],
        max_attempts: 4,
        slow_start_min_capacity: 0.15,
        slow_start_duration: Duration::from_secs_f64(SLOW_START_S),
        ..Settings::default()
    }
}

/// The settings of [`settings`] with sequential classes, one for each kind of idempotency,
/// and with connections to draining endpoints that must be closed.
pub fn settings_with_sequencing_and_draining() -> Settings {
    let mut settings = settings();
    for class in [0, 2, 4] {
        settings.classes[class].sequential = true;
    }
    Settings {
        key_quiet_period: Duration::from_millis(50),
        drain_close_within: Some(Duration::from_millis(400)),
        ..settings
    }
}

/// An endpoint whose zone and cell follow from its number.
pub fn endpoint(number: u32, started: Option<Duration>) -> Endpoint {
    let name = format!("10.0.0.{number}:80");
    Endpoint { zone: number % 2, cell: number / 3, started, ..Endpoint::new(EndpointId(number), &name) }
}

/// An endpoint whose cell follows from its number, in the gateway's own zone.
pub fn local_endpoint(number: u32, started: Option<Duration>) -> Endpoint {
    Endpoint { zone: 0, ..endpoint(number, started) }
}
