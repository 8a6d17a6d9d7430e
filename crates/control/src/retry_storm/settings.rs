//! What operators may set, as the table `[storm]` of their file.

use std::time::Duration;
use weldworks_config::Table;

/// The settings of storm control. The defaults are those of `docs/operate/storms.md`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StormSettings {
    /// In a storm, repeats are paid from a budget, and worth and shares count.
    pub damping: bool,
    /// In a storm, refusals say when to come back by what hosts will be able to do; else they say the module's own.
    pub advice: bool,
    /// Over how long the signals are averaged.
    pub window: Duration,
    /// A storm is suspected while this share of the arrivals is repeats, and `unserved` is exceeded.
    pub repeats: f64,
    /// See `repeats`: the share of the answers that are refusals or failures.
    pub unserved: f64,
    /// What is suspected for so long is a storm.
    pub confirm: Duration,
    /// A storm whose signals have sunk under half of both limits for so long is over, and the recovery begins.
    pub calm_after: Duration,
    /// A recovery without a relapse for so long ends in calm.
    pub recover: Duration,
    /// Repeats that each first try pays for.
    pub budget: f64,
    /// The most repeats that can be saved up.
    pub budget_most: f64,
    /// The part of the admission for a repeat that nobody pays for.
    pub unpaid: f64,
    /// The part of the admission for a tenant beyond its share.
    pub beyond_share: f64,
    /// How much worth counts in a storm: the allowance is multiplied by the relative worth to this power.
    pub worth_power: f64,
    /// The largest allowance.
    pub most_part: f64,
    /// A key seen within this time makes an arrival a repeat, marked or not.
    pub remembers: Duration,
    /// How many keys are remembered, and how many promises.
    pub memory: usize,
}

impl Default for StormSettings {
    fn default() -> Self {
        StormSettings {
            damping: true,
            advice: false,
            window: Duration::from_millis(1500),
            repeats: 0.12,
            unserved: 0.12,
            confirm: Duration::from_millis(600),
            calm_after: Duration::from_millis(1500),
            recover: Duration::from_secs(10),
            budget: 0.1,
            budget_most: 20.0,
            unpaid: 0.5,
            beyond_share: 0.7,
            worth_power: 0.5,
            most_part: 1.5,
            remembers: Duration::from_secs(2),
            memory: 4096,
        }
    }
}

impl StormSettings {
    /// The text that the operator file's digest is taken of. Gateways of other builds compare that digest, so the text keeps the names
    /// of version 0.2.0 whatever the fields are called here.
    pub fn digest_text(&self) -> String {
        let StormSettings {
            damping,
            advice,
            window,
            repeats,
            unserved,
            confirm,
            calm_after,
            recover,
            budget,
            budget_most,
            unpaid,
            beyond_share,
            worth_power,
            most_part,
            remembers,
            memory,
        } = self;
        format!(
            "StormSettings {{ damping: {damping:?}, advice: {advice:?}, window: {window:?}, repeats: {repeats:?}, \
             unserved: {unserved:?}, confirm: {confirm:?}, calm_after: {calm_after:?}, recover: {recover:?}, \
             budget: {budget:?}, budget_most: {budget_most:?}, unpaid: {unpaid:?}, beyond_share: {beyond_share:?}, \
             worth_power: {worth_power:?}, most_part: {most_part:?}, remembers: {remembers:?}, memory: {memory:?} }}"
        )
    }

    /// Reads the table; what is wrong is noted there.
    pub fn read(table: &Table<'_, '_>) -> StormSettings {
        let d = StormSettings::default();
        let (short, long) = (Duration::from_millis(50), Duration::from_secs(600));
        let settings = StormSettings {
            damping: table.or("damping", d.damping),
            advice: table.or("advice", d.advice),
            window: table.within("window", short..=long, d.window),
            repeats: table.within("repeats", 0.01..=1.0, d.repeats),
            unserved: table.within("unserved", 0.01..=1.0, d.unserved),
            confirm: table.within("confirm", Duration::ZERO..=long, d.confirm),
            calm_after: table.within("calm_after", short..=long, d.calm_after),
            recover: table.within("recover", short..=long, d.recover),
            budget: table.within("budget", 0.0..=10.0, d.budget),
            budget_most: table.within("budget_most", 0.0..=1e6, d.budget_most),
            unpaid: table.within("unpaid", 0.0..=1.0, d.unpaid),
            beyond_share: table.within("beyond_share", 0.0..=1.0, d.beyond_share),
            worth_power: table.within("worth_power", 0.0..=4.0, d.worth_power),
            most_part: table.within("most_part", 1.0..=4.0, d.most_part),
            remembers: table.within("remembers", short..=long, d.remembers),
            memory: table.within("memory", 64..=1 << 20, d.memory as u64) as usize,
        };
        if !settings.damping && !settings.advice {
            table.wrong(
                "damping",
                "and advice are both off, so that nothing would come of a storm: leave the table out",
            );
        }
        table.finish();
        settings
    }
}
