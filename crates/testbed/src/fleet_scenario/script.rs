//! Scripts of fault scenarios for a fleet: each fault has a kind, the gateways that it affects, a start and a duration.

use crate::random_variates::RandomStreams;
use std::time::Duration;
use weldworks_config::{Choice, Document, Problems, Table};

/// Kinds of faults and of operations that a script can schedule.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// Kills the gateways' processes at the start of the fault and starts new ones at the end of the fault.
    KillProcess,
    /// Stops the gateways' processes at the start of the fault, as by SIGSTOP, and lets them continue at the end of the fault.
    PauseProcess,
    /// Links between two groups of gateways carry nothing, and no gateway is notified of that.
    CutLinks {
        /// Whether only the direction from the fault's targets to the other gateways is cut.
        one_way: bool,
    },
    /// Links between gateways deliver everything with an added delay.
    DelayLinks {
        /// Least and greatest added delay; the delay of each frame is drawn between them.
        delay_range: (Duration, Duration),
    },
    /// Links between gateways are closed and reconnected repeatedly.
    FlapLinks {
        /// Interval at which the flapping links are closed.
        interval: Duration,
    },
    /// Discovery delivers no newer endpoint list to the gateways.
    FreezeDiscovery,
    /// Links between gateways carry a limited number of bytes a second; only on real processes.
    LimitBandwidth {
        /// Limit of each direction of a link, in bytes a second.
        bytes_per_s: u64,
    },
    /// Discovery moves to another address: the previous one delivers no newer list, the gateways' configuration names the new one, and
    /// they get SIGHUP; only on real processes.
    MoveDiscovery,
    /// The gateways' configuration files are rewritten and the gateways get SIGHUP; only on real processes.
    RewriteConfig {
        /// Whether the new configuration file is invalid, so that the gateway has to reject it.
        is_invalid: bool,
    },
    /// Writes to the gateways' disks fail; only on real processes.
    FillDisk,
    /// The gateways' processes are replaced one after the other, each by a graceful shutdown and the start of a new process.
    ReplaceProcesses {
        /// Time from the start of one replacement to the next.
        interval: Duration,
    },
}

/// The gateways that a fault affects.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// The gateways with the listed numbers, counted from 0.
    Gateways(Vec<usize>),
    /// The gateway that leads the consensus group when the fault starts.
    Leader,
    /// All gateways of the fleet.
    All,
}

/// A scheduled fault or operation.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Start of the fault, from the start of the script.
    pub start: Duration,
    /// Duration of the fault; a fault without one lasts to the end of the run.
    pub duration: Option<Duration>,
    /// The gateways that the fault affects.
    pub target: Target,
    /// For faults of links: the gateways at the other end of the affected links. Without this list, all gateways that are not targets.
    pub other_side: Option<Vec<usize>>,
    /// What happens to the gateways or links.
    pub kind: FaultKind,
}

/// Interval between two requests of a client to its gateway, unless the script sets another.
const DEFAULT_REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// Longest time that a restarted process needs to become a voter again where no other fault is active.
const VOTER_REJOIN_TIME: Duration = Duration::from_secs(4);

impl Fault {
    /// End of the fault, from the start of the script; none where the fault lasts to the end of the run.
    pub fn end(&self) -> Option<Duration> {
        self.duration.map(|duration| self.start + duration)
    }
}

/// What has to happen to the gateways that the script names, beside the rules that hold in every run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Expected {
    /// Gateways that have to be fenced at some time of the run.
    pub fenced: Vec<usize>,
    /// Gateways that have to be without a session at some time after their first session.
    pub without_session: Vec<usize>,
}

/// A fault scenario, read from a TOML file or drawn at random.
#[derive(Clone, Debug, PartialEq)]
pub struct Script {
    /// Name of the scenario, written to the report.
    pub name: String,
    /// What the scenario demonstrates.
    pub description: String,
    /// Length of the scenario, without the time until the fleet is up on real processes.
    pub duration: Duration,
    /// Number of gateways.
    pub gateway_count: usize,
    /// Number of voters in the consensus group; the gateways with the lowest numbers are the voters.
    pub voter_count: usize,
    /// Length of a session's lease.
    pub lease_length: Duration,
    /// Clock margin of the lease: the fraction by which the clock of any gateway may run fast or slow.
    pub clock_margin: f64,
    /// A gateway is lagging once its endpoint list is this number of versions behind for this duration.
    pub lag_limit: (u64, Duration),
    /// Greatest fraction of the fleet's sessions that may be fenced at once.
    pub max_fenced_fraction: f64,
    /// Interval between two versions of the endpoint list.
    pub list_interval: Duration,
    /// Interval between two requests of a client to its gateway, on real processes.
    pub request_interval: Duration,
    /// Time from which endpoint lists mark the last endpoint as draining; only on real processes.
    pub drain_from: Option<Duration>,
    /// Whether voters store their consensus state on disk; on real processes the audit logs too.
    pub has_disks: bool,
    /// Whether a gateway without a session rejects requests; otherwise it serves them.
    pub rejects_without_session: bool,
    /// The faults and operations of the scenario.
    pub faults: Vec<Fault>,
    /// What the faults have to lead to, beside the rules that hold in every run.
    pub expected: Expected,
}

#[derive(Clone, Copy)]
enum FaultName {
    KillProcess,
    PauseProcess,
    CutLinks,
    CutLinksOneWay,
    DelayLinks,
    FlapLinks,
    FreezeDiscovery,
    LimitBandwidth,
    MoveDiscovery,
    RewriteConfig,
    FillDisk,
    ReplaceProcesses,
}

impl Choice for FaultName {
    const CHOICES: &'static [(&'static str, FaultName)] = &[
        ("kill", FaultName::KillProcess),
        ("pause", FaultName::PauseProcess),
        ("cut", FaultName::CutLinks),
        ("cut-one-way", FaultName::CutLinksOneWay),
        ("slow", FaultName::DelayLinks),
        ("flap", FaultName::FlapLinks),
        ("stick", FaultName::FreezeDiscovery),
        ("thin", FaultName::LimitBandwidth),
        ("move", FaultName::MoveDiscovery),
        ("configure", FaultName::RewriteConfig),
        ("fill-disk", FaultName::FillDisk),
        ("replace", FaultName::ReplaceProcesses),
    ];
}

fn parse_gateways(table: &Table<'_, '_>, key: &str, gateway_count: usize) -> Option<Vec<usize>> {
    let numbers: Vec<u64> = table.get(key)?;
    if numbers.iter().any(|number| *number as usize >= gateway_count) {
        table.report(
            key,
            format!(
                "names a gateway that does not exist: gateways have the numbers 0 to {}",
                gateway_count.saturating_sub(1)
            ),
        );
    }
    Some(numbers.into_iter().map(|number| number as usize).collect())
}

fn parse_fault(table: &Table<'_, '_>, gateway_count: usize) -> Option<Fault> {
    let kind = table.require::<FaultName>("what");
    let targets_leader = table.get_or("leader", false);
    let target = match parse_gateways(table, "gateways", gateway_count) {
        Some(numbers) => Target::Gateways(numbers),
        None if targets_leader => Target::Leader,
        None => Target::All,
    };
    let kind = match kind? {
        FaultName::KillProcess => FaultKind::KillProcess,
        FaultName::PauseProcess => FaultKind::PauseProcess,
        FaultName::CutLinks => FaultKind::CutLinks { one_way: false },
        FaultName::CutLinksOneWay => FaultKind::CutLinks { one_way: true },
        FaultName::DelayLinks => FaultKind::DelayLinks { delay_range: table.require("by")? },
        FaultName::FlapLinks => FaultKind::FlapLinks { interval: table.require("every")? },
        FaultName::FreezeDiscovery => FaultKind::FreezeDiscovery,
        FaultName::LimitBandwidth => {
            FaultKind::LimitBandwidth { bytes_per_s: table.get_in_range("rate", 100..=1_000_000_000, 1000) }
        }
        FaultName::MoveDiscovery => FaultKind::MoveDiscovery,
        FaultName::RewriteConfig => FaultKind::RewriteConfig { is_invalid: table.get_or("broken", false) },
        FaultName::FillDisk => FaultKind::FillDisk,
        FaultName::ReplaceProcesses => {
            FaultKind::ReplaceProcesses { interval: table.get_or("apart", Duration::ZERO) }
        }
    };
    let other_side = parse_gateways(table, "others", gateway_count);
    let fault = Fault { start: table.require("at")?, duration: table.get("lasts"), target, other_side, kind };
    table.finish();
    Some(fault)
}

impl Script {
    /// Parses a script from TOML text; `file` is named in the errors.
    ///
    /// # Errors
    /// All problems of the script, each with its line and key.
    pub fn parse(file: &str, text: &str) -> Result<Script, Problems> {
        let document = Document::parse(file, text)?;
        let root = document.root();
        let total_gateways = root.get_in_range("gateways", 3..=1000, 5) as usize;
        let voter_count = root.get_in_range("council", 3..=5, 3) as usize;
        if voter_count.is_multiple_of(2) || voter_count > total_gateways {
            root.report("council", "must be 3 or 5, and not greater than the number of gateways");
        }
        let expected = root.table("expected").map(|table| {
            let expected = Expected {
                fenced: parse_gateways(&table, "shut_out", total_gateways).unwrap_or_default(),
                without_session: parse_gateways(&table, "alone", total_gateways).unwrap_or_default(),
            };
            table.finish();
            expected
        });
        let script = Script {
            name: root.require("name").unwrap_or_default(),
            description: root.require("about").unwrap_or_default(),
            duration: root.require("lasts").unwrap_or_default(),
            gateway_count: total_gateways,
            voter_count,
            lease_length: root.get_or("lease", Duration::from_secs(2)),
            clock_margin: root.get_in_range("margin", 0.001..=0.2, 0.02),
            lag_limit: (
                root.get_in_range("behind", 1..=1000, 3),
                root.get_or("behind_for", Duration::from_secs(2)),
            ),
            max_fenced_fraction: root.get_in_range("shut_out_most", 0.0..=0.5, 0.2),
            list_interval: root.get_or("lists", Duration::from_millis(500)),
            request_interval: root.get_or("asks", DEFAULT_REQUEST_INTERVAL),
            drain_from: root.get("leaves"),
            has_disks: root.get_or("disks", false),
            rejects_without_session: root.get_or("refuses_alone", false),
            faults: root
                .tables("event")
                .iter()
                .filter_map(|fault_table| parse_fault(fault_table, total_gateways))
                .collect(),
            expected: expected.unwrap_or_default(),
        };
        root.finish();
        document.check(script)
    }

    /// A random script like [`Script::random`] with further kills, where voters store their state on disk: however many processes are
    /// killed, and whenever, no agreed entry may be lost.
    pub fn random_with_disks(seed: u64, gateway_count: usize, voter_count: usize) -> Script {
        let mut script = Script::random(seed, gateway_count, voter_count);
        let mut random = RandomStreams::new(seed).stream(crate::random_variates::Purpose::ScriptedEvent, 1);
        let ms = |count: usize| Duration::from_millis(count as u64);
        for _ in 0..3 + random.uniform_below(6) {
            let (start, duration) =
                (ms(100 + random.uniform_below(16_000)), Some(ms(20 + random.uniform_below(2500))));
            let target = match random.uniform_below(4) {
                0 => Target::All,
                1 => Target::Leader,
                _ => Target::Gateways(vec![random.uniform_below(voter_count)]),
            };
            script.faults.push(Fault {
                start,
                duration,
                target,
                other_side: None,
                kind: FaultKind::KillProcess,
            });
        }
        script.faults.sort_by_key(|fault| fault.start);
        script.has_disks = true;
        script
    }

    /// A script with random faults, determined by `seed`, for searching violations. All faults end within the first two thirds of the
    /// script, so that the rest of it shows the recovery.
    pub fn random(seed: u64, gateway_count: usize, voter_count: usize) -> Script {
        let mut random = RandomStreams::new(seed).stream(crate::random_variates::Purpose::ScriptedEvent, 0);
        let duration = Duration::from_secs(30);
        let mut below = |end: usize| random.uniform_below(end);
        let ms = |count: usize| Duration::from_millis(count as u64);
        let fault_count = 2 + below(8);
        let mut faults = Vec::new();
        for _ in 0..fault_count {
            let start = ms(2500 + below(14_000));
            let fault_duration = ms(50 + below(6000)).min(Duration::from_secs(20) - start);
            // Voters are targets more often than their share of the fleet, since they make the decisions.
            let first = if below(3) == 0 { below(gateway_count) } else { below(voter_count) };
            let second = (first + 1 + below(gateway_count - 1)) % gateway_count;
            let target = if below(5) == 0 { Target::Leader } else { Target::Gateways(vec![first]) };
            let kind = match below(8) {
                0 | 1 => FaultKind::KillProcess,
                2 => FaultKind::PauseProcess,
                3 => FaultKind::CutLinks { one_way: false },
                4 => FaultKind::CutLinks { one_way: true },
                5 => FaultKind::DelayLinks { delay_range: (ms(1), ms(1 + below(1500))) },
                6 => FaultKind::FlapLinks { interval: ms(100 + below(500)) },
                _ => FaultKind::ReplaceProcesses { interval: ms(200) },
            };
            let other_side = (below(2) == 0).then(|| vec![second]);
            faults.push(Fault { start, duration: Some(fault_duration), target, other_side, kind });
        }
        faults.sort_by_key(|fault: &Fault| fault.start);
        // A consensus group without disks survives the loss of a minority of its processes until they are voters again. A second loss
        // before then has a script of its own; here it becomes a pause.
        let mut voters_complete_from = Duration::ZERO;
        for fault in &mut faults {
            let affects_voter = match &fault.target {
                Target::Gateways(numbers) => numbers.iter().any(|gateway| *gateway < voter_count),
                _ => true,
            };
            if affects_voter
                && matches!(fault.kind, FaultKind::KillProcess | FaultKind::ReplaceProcesses { .. })
                && fault.start < voters_complete_from
            {
                fault.kind = FaultKind::PauseProcess;
            }
            voters_complete_from =
                voters_complete_from.max(fault.end().unwrap_or(duration) + VOTER_REJOIN_TIME);
        }
        Script {
            name: format!("drawn-{seed}"),
            description: "random faults, determined by a seed".to_owned(),
            duration,
            gateway_count,
            voter_count,
            lease_length: Duration::from_secs(2),
            clock_margin: 0.02,
            lag_limit: (3, Duration::from_secs(2)),
            max_fenced_fraction: 0.2,
            list_interval: Duration::from_millis(500),
            request_interval: DEFAULT_REQUEST_INTERVAL,
            drain_from: None,
            has_disks: false,
            rejects_without_session: false,
            faults,
            expected: Expected::default(),
        }
    }
}
