//! Operator settings of storm control: the table `[storm]` of the operator's file.

use std::time::Duration;
use weldworks_config::Table;

/// Shortest time that the table `[storm]` accepts, except for keys where zero is allowed.
const MIN_TIME: Duration = Duration::from_millis(50);
/// Longest time that the table `[storm]` accepts.
const MAX_TIME: Duration = Duration::from_secs(600);

/// Settings of storm control. The defaults are those of `docs/operate/storms.md`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StormSettings {
    /// Whether a budget limits retries in a storm, and class weights and
    /// tenant shares change admission limits then. Key `damping`, default on.
    pub damping_enabled: bool,
    /// Whether rejections in a storm carry a `Retry-After` computed from the expected capacity, in place of the
    /// `Retry-After` of the balancer. Key `advice`, default off.
    pub retry_after_enabled: bool,
    /// Time constant of the signals' averages. Key `window`, default 1.5 s.
    pub signal_window: Duration,
    /// Fraction of arrivals that are retries above which a storm is suspected, if [`Self::unserved_ratio_limit`] is
    /// exceeded too. Key `repeats`, default 0.12.
    pub client_retry_ratio_limit: f64,
    /// Fraction of responses that are rejections or failures above which a storm is suspected, if
    /// [`Self::client_retry_ratio_limit`] is exceeded too. Key `unserved`, default 0.12.
    pub unserved_ratio_limit: f64,
    /// Time after which a suspicion that is not refuted becomes a storm. Key `confirm`, default 0.6 s.
    pub confirmation_time: Duration,
    /// Least time in a storm before the recovery begins, which also requires both
    /// ratios to be below half of their limits. Key `calm_after`, default 1.5 s.
    pub min_storm_time: Duration,
    /// Time without a new storm after which a recovery ends. Key `recover`, default 10 s.
    pub recovery_time: Duration,
    /// Number of retries that each first attempt earns. Key `budget`, default 0.1.
    pub retries_per_first_attempt: f64,
    /// Largest number of retries that the budget saves up. Key `budget_most`, default 20.
    pub max_saved_retries: f64,
    /// Admission share of a retry that the budget does not cover. Key `unpaid`, default 0.5.
    pub unbudgeted_admission_share: f64,
    /// Factor on the admission share of a tenant that exceeds its
    /// share of the traffic. Key `beyond_share`, default 0.7.
    pub over_share_factor: f64,
    /// Exponent of a class's relative weight in the admission share. Key `worth_power`, default 0.5.
    pub weight_exponent: f64,
    /// Largest admission share. Key `most_part`, default 1.5.
    pub max_admission_share: f64,
    /// Time within which a second request of the same identity counts as a repeat. Repeats are reported and may redeem
    /// a reservation; they do not affect the state or the budget. Key `remembers`, default 2 s.
    pub repeat_window: Duration,
    /// Number of slots in the table of recent identities, and in that of reservations. Key `memory`, default 4096.
    pub cache_slots: usize,
}

impl Default for StormSettings {
    fn default() -> Self {
        StormSettings {
            damping_enabled: true,
            retry_after_enabled: false,
            signal_window: Duration::from_millis(1500),
            client_retry_ratio_limit: 0.12,
            unserved_ratio_limit: 0.12,
            confirmation_time: Duration::from_millis(600),
            min_storm_time: Duration::from_millis(1500),
            recovery_time: Duration::from_secs(10),
            retries_per_first_attempt: 0.1,
            max_saved_retries: 20.0,
            unbudgeted_admission_share: 0.5,
            over_share_factor: 0.7,
            weight_exponent: 0.5,
            max_admission_share: 1.5,
            repeat_window: Duration::from_secs(2),
            cache_slots: 4096,
        }
    }
}

impl StormSettings {
    /// The text from which the digest of the operator's file is computed. Gateways of other builds compare that digest,
    /// so the text keeps the field names and the format of version 0.2.0.
    pub fn digest_text(&self) -> String {
        let StormSettings {
            damping_enabled,
            retry_after_enabled,
            signal_window,
            client_retry_ratio_limit,
            unserved_ratio_limit,
            confirmation_time,
            min_storm_time,
            recovery_time,
            retries_per_first_attempt,
            max_saved_retries,
            unbudgeted_admission_share,
            over_share_factor,
            weight_exponent,
            max_admission_share,
            repeat_window,
            cache_slots,
        } = self;
        format!(
            "StormSettings {{ damping: {damping_enabled:?}, advice: {retry_after_enabled:?}, \
             window: {signal_window:?}, repeats: {client_retry_ratio_limit:?}, \
             unserved: {unserved_ratio_limit:?}, confirm: {confirmation_time:?}, \
             calm_after: {min_storm_time:?}, recover: {recovery_time:?}, \
             budget: {retries_per_first_attempt:?}, budget_most: {max_saved_retries:?}, \
             unpaid: {unbudgeted_admission_share:?}, beyond_share: {over_share_factor:?}, \
             worth_power: {weight_exponent:?}, most_part: {max_admission_share:?}, \
             remembers: {repeat_window:?}, memory: {cache_slots:?} }}"
        )
    }

    /// Reads the table `[storm]`. Problems are reported to the
    /// table's document, and a key with a problem gets its default.
    pub fn read(table: &Table<'_, '_>) -> StormSettings {
        let default = StormSettings::default();
        let settings = StormSettings {
            damping_enabled: table.get_or("damping", default.damping_enabled),
            retry_after_enabled: table.get_or("advice", default.retry_after_enabled),
            signal_window: table.get_in_range("window", MIN_TIME..=MAX_TIME, default.signal_window),
            client_retry_ratio_limit: table.get_in_range(
                "repeats",
                0.01..=1.0,
                default.client_retry_ratio_limit,
            ),
            unserved_ratio_limit: table.get_in_range("unserved", 0.01..=1.0, default.unserved_ratio_limit),
            confirmation_time: table.get_in_range(
                "confirm",
                Duration::ZERO..=MAX_TIME,
                default.confirmation_time,
            ),
            min_storm_time: table.get_in_range("calm_after", MIN_TIME..=MAX_TIME, default.min_storm_time),
            recovery_time: table.get_in_range("recover", MIN_TIME..=MAX_TIME, default.recovery_time),
            retries_per_first_attempt: table.get_in_range(
                "budget",
                0.0..=10.0,
                default.retries_per_first_attempt,
            ),
            max_saved_retries: table.get_in_range("budget_most", 0.0..=1e6, default.max_saved_retries),
            unbudgeted_admission_share: table.get_in_range(
                "unpaid",
                0.0..=1.0,
                default.unbudgeted_admission_share,
            ),
            over_share_factor: table.get_in_range("beyond_share", 0.0..=1.0, default.over_share_factor),
            weight_exponent: table.get_in_range("worth_power", 0.0..=4.0, default.weight_exponent),
            max_admission_share: table.get_in_range("most_part", 1.0..=4.0, default.max_admission_share),
            repeat_window: table.get_in_range("remembers", MIN_TIME..=MAX_TIME, default.repeat_window),
            cache_slots: table.get_in_range("memory", 64..=1 << 20, default.cache_slots as u64) as usize,
        };
        if !settings.damping_enabled && !settings.retry_after_enabled {
            table.report(
                "damping",
                "is off and advice is off too, so that a detected storm has no effect: remove the table",
            );
        }
        table.finish();
        settings
    }
}
