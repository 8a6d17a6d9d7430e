//! The fleet is off unless the operator's settings file and the command-line flag both turn it on.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};
use weldworks_testbed::run_folder::own_run_folder;

const PROGRAM: &str = env!("CARGO_BIN_EXE_weldworks-gateway");
const FLEET: &str = "[fleet]\nname = \"f\"\ngateway = \"a\"\nlisten = \"127.0.0.1:0\"\n\
    [[fleet.peer]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\ncouncil = true\n\
    [[fleet.peer]]\nname = \"b\"\naddress = \"127.0.0.1:2\"\ncouncil = true\n\
    [[fleet.peer]]\nname = \"c\"\naddress = \"127.0.0.1:3\"\ncouncil = true\n";

fn write_file(name: &str, text: &str) -> String {
    let path = format!("{}/{name}", own_run_folder(env!("CARGO_TARGET_TMPDIR")));
    std::fs::write(&path, text).expect("file write failed");
    path
}

fn deploy_file() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");
    std::fs::read_to_string(path).expect("cannot read the deploy file")
}

/// The arguments behind the program's path in the `run` line of the deploy file.
fn run_arguments(deploy_file: &str) -> Vec<String> {
    let line =
        deploy_file.lines().find_map(|l| l.strip_prefix("run = ")).expect("no `run` line in the deploy file");
    let mut arguments = line.trim_matches('"').split_whitespace();
    assert_eq!(arguments.next(), Some("exec"));
    assert!(arguments.next().is_some_and(|program| program.ends_with("weldworks-gateway")));
    arguments.map(str::to_owned).collect()
}

struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts the program as the platform does; returns the process and its log up to the line that says that the process listens.
fn start(settings: Option<&str>, arguments: &[String]) -> (Running, String) {
    let example = include_str!("../../../deploy/platform.example.json");
    let example = example.replace("127.0.0.1:7070", "127.0.0.1:0").replace("127.0.0.1:8500", "127.0.0.1:1");
    // A configuration file of its own for each call: tests run in parallel, and a process that reads a half-written file does not start.
    static STARTED_PROCESSES: AtomicU32 = AtomicU32::new(0);
    let config =
        write_file(&format!("off-{}.json", STARTED_PROCESSES.fetch_add(1, Ordering::Relaxed)), &example);
    let mut command = Command::new(PROGRAM);
    command.args(arguments).env("ROUTER_CONFIG", config).stderr(Stdio::piped());
    command.env_remove("WELDWORKS_SETTINGS").env_remove("OTTERVANE_SETTINGS");
    // No variable of the environment may turn the fleet on.
    command.envs(["FLEET", "OTTERVANE_FLEET", "ROUTER_FLEET"].map(|variable| (variable, "true")));
    if let Some(settings) = settings {
        command.env("OTTERVANE_SETTINGS", settings);
    }
    let mut child = command.spawn().expect("cannot start the gateway program");
    let mut lines =
        BufReader::new(child.stderr.take().expect("no stderr pipe")).lines().map_while(Result::ok);
    let mut log = String::new();
    for line in lines.by_ref() {
        log += &(line.clone() + "\n");
        if line.contains(" listening address=") {
            break;
        }
    }
    std::thread::spawn(move || lines.for_each(drop));
    (Running(child), log)
}

/// The open descriptors of a process by kind, and the numbers of its threads and timers.
fn open_resources(running: &Running) -> BTreeMap<String, usize> {
    let process = format!("/proc/{}", running.0.id());
    let mut open_resources = BTreeMap::new();
    for entry in std::fs::read_dir(format!("{process}/fd")).expect("cannot read /proc/PID/fd").flatten() {
        // A descriptor that was closed since the directory was read is not open.
        let Ok(target) = std::fs::read_link(entry.path()) else { continue };
        let text = target.display().to_string();
        let kind = text.split_once(":[").map_or(text.as_str(), |(kind, _)| kind);
        *open_resources.entry(kind.to_owned()).or_default() += 1;
    }
    let threads = std::fs::read_dir(format!("{process}/task")).expect("cannot read /proc/PID/task").count();
    open_resources.insert("threads".to_owned(), threads);
    let timers = std::fs::read_to_string(format!("{process}/timers")).unwrap_or_default();
    open_resources.insert("timers".to_owned(), timers.lines().count());
    open_resources
}

/// The process repeatedly connects to a discovery that is not there, so its open resources vary.
/// The comparison is repeated until both processes have equal resources open, which must happen within 20 s.
#[test]
fn fleet_table_without_the_flag_opens_nothing() {
    let arguments = run_arguments(&deploy_file());
    let settings = write_file("off.toml", FLEET);
    let (without_fleet, before) = start(None, &arguments);
    let (with_fleet, log) = start(Some(&settings), &arguments);
    assert!(!before.contains("fleet") && !before.contains("[fleet]"), "{before}");
    assert_eq!(log.matches("[fleet] is in the operator's file and stays off").count(), 1, "{log}");
    assert!(!log.contains("this gateway is in a fleet") && !log.contains("the link listens"), "{log}");
    let waiting_since = Instant::now();
    loop {
        let (without, with_table) = (open_resources(&without_fleet), open_resources(&with_fleet));
        if without == with_table {
            break;
        }
        assert!(
            waiting_since.elapsed() < Duration::from_secs(20),
            "{without:?} without the table, {with_table:?} with the table"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Proves that the previous test can fail: a process in a fleet has more sockets open.
#[test]
fn process_in_a_fleet_has_more_sockets_open() {
    let arguments = vec!["run".to_owned(), "--fleet".to_owned()];
    let settings = write_file("on.toml", FLEET);
    let (without_fleet, _) = start(None, &[]);
    let (with_fleet, log) = start(Some(&settings), &arguments);
    assert!(log.contains("this gateway is in a fleet"), "{log}");
    let sockets = |running: &Running| open_resources(running).get("socket").copied().unwrap_or_default();
    let waiting_since = Instant::now();
    while sockets(&with_fleet) <= sockets(&without_fleet) {
        assert!(waiting_since.elapsed() < Duration::from_secs(20), "no socket of the fleet link is open");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn deploy_file_does_not_turn_the_fleet_on() {
    let deploy_file = deploy_file();
    assert!(!run_arguments(&deploy_file)
        .iter()
        .any(|word| word.contains("fleet") || word.contains("settings")));
    assert!(!deploy_file.contains("OTTERVANE_SETTINGS") && !deploy_file.contains("WELDWORKS_SETTINGS"));
    let shipped = include_str!("../../../deploy/gateway.toml");
    assert!(
        !shipped.lines().any(|line| line.starts_with('[')),
        "every table of the shipped file must be commented out"
    );
}

#[test]
fn fleet_flag_without_a_fleet_table_is_an_error_before_anything_is_opened() {
    for settings in [None, Some(write_file("none.toml", "[log]\nformat = \"text\"\n"))] {
        let mut command = Command::new(PROGRAM);
        // There is no configuration either: the flag is checked before the configuration is read.
        command.args(["run", "--fleet"]).env_remove("ROUTER_CONFIG");
        command.env_remove("WELDWORKS_SETTINGS").env_remove("OTTERVANE_SETTINGS");
        if let Some(settings) = &settings {
            command.args(["--settings", settings]);
        }
        let output = command.output().expect("cannot start the gateway program");
        assert_eq!(output.status.code(), Some(1));
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            text.contains("[fleet]") && text.contains("--settings") && text.lines().count() == 1,
            "{text}"
        );
    }
}

#[test]
fn no_environment_variable_turns_the_fleet_on() {
    let settings = write_file("variable.toml", FLEET);
    let (_running, log) = start(Some(&settings), &[]);
    assert!(log.contains("stays off") && !log.contains("is in a fleet"), "{log}");
}

#[test]
fn invalid_fleet_table_is_reported_with_every_error() {
    let wrong = "[fleet]\nname = \"f\"\ngateway = \"z\"\nlease = \"1ms\"\nalone = \"perhaps\"\n\
        [[fleet.peer]]\nname = \"a\"\naddress = \"nowhere\"\ncouncil = true\n";
    let path = write_file("wrong.toml", wrong);
    let output =
        Command::new(PROGRAM).args(["check", &path]).output().expect("cannot start the gateway program");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    for part in ["is not the name of any peer", "lease", "alone", "address", "3 or 5"] {
        assert!(text.contains(part), "{part}: {text}");
    }
}

/// Operators who upgrade still set the variable of version 0.2.0, and may set the new variable as well.
/// Either variable must be read, the new one first: a gateway that reads neither would start without its fleet, its storm control and its log settings.
#[test]
fn the_settings_variable_of_version_0_2_0_is_read_where_the_new_one_is_not_set() {
    let new = write_file("new-variable.toml", "[log]\nformat = \"text\"\n");
    let former = write_file("former-variable.toml", "[log]\nformat = \"text\"\n");
    for (new_variable, former_variable, expected) in
        [(Some(&new), None, &new), (None, Some(&former), &former), (Some(&new), Some(&former), &new)]
    {
        let mut command = Command::new(PROGRAM);
        command.args(["fleet", "status"]);
        command.env_remove("WELDWORKS_SETTINGS").env_remove("OTTERVANE_SETTINGS");
        command.envs(new_variable.map(|path| ("WELDWORKS_SETTINGS", path)));
        command.envs(former_variable.map(|path| ("OTTERVANE_SETTINGS", path)));
        let output = command.output().expect("cannot start the gateway program");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{text}");
        assert!(text.contains(&format!("{expected} has no table [fleet]")), "{text}");
    }
}
