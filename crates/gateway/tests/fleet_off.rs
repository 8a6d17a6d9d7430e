//! The fleet is off unless the operator's file and the flag say so together.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_weldworks-gateway");
const FLEET: &str = "[fleet]\nname = \"f\"\ngateway = \"a\"\nlisten = \"127.0.0.1:0\"\n\
    [[fleet.peer]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\ncouncil = true\n\
    [[fleet.peer]]\nname = \"b\"\naddress = \"127.0.0.1:2\"\ncouncil = true\n\
    [[fleet.peer]]\nname = \"c\"\naddress = \"127.0.0.1:3\"\ncouncil = true\n";

fn file(name: &str, text: &str) -> String {
    let path = format!("{}/{name}", env!("CARGO_TARGET_TMPDIR"));
    std::fs::write(&path, text).expect("a file");
    path
}

fn deploy() -> String {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/balancer.toml");
    std::fs::read_to_string(path).expect("the deploy file")
}

/// The words of `run` in the deploy file behind the program's path.
fn run_words(deploy: &str) -> Vec<String> {
    let line = deploy.lines().find_map(|l| l.strip_prefix("run = ")).expect("a run line");
    let mut words = line.trim_matches('"').split_whitespace();
    assert_eq!(words.next(), Some("exec"));
    assert!(words.next().is_some_and(|program| program.ends_with("weldworks-gateway")));
    words.map(str::to_owned).collect()
}

struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts the program as the platform does; gives it with its log up to the line that it listens.
fn start(settings: Option<&str>, words: &[String]) -> (Running, String) {
    let example = include_str!("../../../deploy/platform.example.json");
    let example = example.replace("127.0.0.1:7070", "127.0.0.1:0").replace("127.0.0.1:8500", "127.0.0.1:1");
    // A file for each call: tests of one process run side by side, and a program that reads a file half written does not start.
    static STARTED: AtomicU32 = AtomicU32::new(0);
    let config = file(&format!("off-{}.json", STARTED.fetch_add(1, Ordering::Relaxed)), &example);
    let mut command = Command::new(PROGRAM);
    command.args(words).env("ROUTER_CONFIG", config).stderr(Stdio::piped());
    command.env_remove("WELDWORKS_SETTINGS").env_remove("OTTERVANE_SETTINGS");
    // Whatever else the environment says.
    command.envs(["FLEET", "OTTERVANE_FLEET", "ROUTER_FLEET"].map(|variable| (variable, "true")));
    if let Some(settings) = settings {
        command.env("OTTERVANE_SETTINGS", settings);
    }
    let mut child = command.spawn().expect("the built program");
    let mut lines = BufReader::new(child.stderr.take().expect("a log")).lines().map_while(Result::ok);
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

/// What a process has open, by kind, and how many threads it has.
fn open(running: &Running) -> BTreeMap<String, usize> {
    let process = format!("/proc/{}", running.0.id());
    let mut open = BTreeMap::new();
    for entry in std::fs::read_dir(format!("{process}/fd")).expect("descriptors").flatten() {
        // One that was closed meanwhile is not open.
        let Ok(target) = std::fs::read_link(entry.path()) else { continue };
        let text = target.display().to_string();
        let kind = text.split_once(":[").map_or(text.as_str(), |(kind, _)| kind);
        *open.entry(kind.to_owned()).or_default() += 1;
    }
    let threads = std::fs::read_dir(format!("{process}/task")).expect("threads").count();
    open.insert("threads".to_owned(), threads);
    let timers = std::fs::read_to_string(format!("{process}/timers")).unwrap_or_default();
    open.insert("timers".to_owned(), timers.lines().count());
    open
}

/// A dial to a discovery that is not there comes and goes, so what is open is looked at until it is alike, and has to be soon.
#[test]
fn started_as_the_platform_does_a_table_changes_nothing() {
    let words = run_words(&deploy());
    let settings = file("off.toml", FLEET);
    let (plain, before) = start(None, &words);
    let (with, log) = start(Some(&settings), &words);
    assert!(!before.contains("fleet") && !before.contains("[fleet]"), "{before}");
    assert_eq!(log.matches("[fleet] is in the operator's file and stays off").count(), 1, "{log}");
    assert!(!log.contains("this gateway is in a fleet") && !log.contains("the link listens"), "{log}");
    let since = Instant::now();
    loop {
        let (without, has) = (open(&plain), open(&with));
        if without == has {
            break;
        }
        assert!(since.elapsed() < Duration::from_secs(20), "{without:?} without the table, {has:?} with it");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// The same look at a process that is in a fleet: it has more open, or the test above could not fail.
#[test]
fn a_process_in_a_fleet_has_more_open() {
    let words = vec!["run".to_owned(), "--fleet".to_owned()];
    let settings = file("on.toml", FLEET);
    let (plain, _) = start(None, &[]);
    let (with, log) = start(Some(&settings), &words);
    assert!(log.contains("this gateway is in a fleet"), "{log}");
    let sockets = |running: &Running| open(running).get("socket").copied().unwrap_or_default();
    let since = Instant::now();
    while sockets(&with) <= sockets(&plain) {
        assert!(since.elapsed() < Duration::from_secs(20), "its link is nowhere to be seen");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn the_deploy_file_does_not_turn_it_on() {
    let deploy = deploy();
    assert!(!run_words(&deploy).iter().any(|word| word.contains("fleet") || word.contains("settings")));
    assert!(!deploy.contains("OTTERVANE_SETTINGS") && !deploy.contains("WELDWORKS_SETTINGS"));
    let shipped = include_str!("../../../deploy/gateway.toml");
    assert!(
        !shipped.lines().any(|line| line.starts_with('[')),
        "every table of the shipped file is a comment"
    );
}

#[test]
fn the_flag_alone_is_an_error_before_anything_is_opened() {
    for settings in [None, Some(file("none.toml", "[log]\nformat = \"text\"\n"))] {
        let mut command = Command::new(PROGRAM);
        // No configuration either: the flag is looked at first.
        command.args(["run", "--fleet"]).env_remove("ROUTER_CONFIG");
        command.env_remove("WELDWORKS_SETTINGS").env_remove("OTTERVANE_SETTINGS");
        if let Some(settings) = &settings {
            command.args(["--settings", settings]);
        }
        let output = command.output().expect("the built program");
        assert_eq!(output.status.code(), Some(1));
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            text.contains("[fleet]") && text.contains("--settings") && text.lines().count() == 1,
            "{text}"
        );
    }
}

#[test]
fn no_variable_turns_it_on() {
    let settings = file("variable.toml", FLEET);
    let (_running, log) = start(Some(&settings), &[]);
    assert!(log.contains("stays off") && !log.contains("is in a fleet"), "{log}");
}

#[test]
fn a_table_that_is_wrong_is_told_with_every_line() {
    let wrong = "[fleet]\nname = \"f\"\ngateway = \"z\"\nlease = \"1ms\"\nalone = \"perhaps\"\n\
        [[fleet.peer]]\nname = \"a\"\naddress = \"nowhere\"\ncouncil = true\n";
    let path = file("wrong.toml", wrong);
    let output = Command::new(PROGRAM).args(["check", &path]).output().expect("the built program");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    for part in ["not among the peers", "lease", "alone", "address", "3 or 5"] {
        assert!(text.contains(part), "{part}: {text}");
    }
}

/// Operators who upgrade still set the variable of version 0.2.0, and may set the new one beside it. Either must be read, the new one
/// first: a gateway that reads neither would start without its fleet, its storm control and its log settings.
#[test]
fn the_settings_variable_of_version_0_2_0_is_read_where_the_new_one_is_not_set() {
    let new = file("new-variable.toml", "[log]\nformat = \"text\"\n");
    let former = file("former-variable.toml", "[log]\nformat = \"text\"\n");
    for (new_variable, former_variable, expected) in
        [(Some(&new), None, &new), (None, Some(&former), &former), (Some(&new), Some(&former), &new)]
    {
        let mut command = Command::new(PROGRAM);
        command.args(["fleet", "status"]);
        command.env_remove("WELDWORKS_SETTINGS").env_remove("OTTERVANE_SETTINGS");
        command.envs(new_variable.map(|path| ("WELDWORKS_SETTINGS", path)));
        command.envs(former_variable.map(|path| ("OTTERVANE_SETTINGS", path)));
        let output = command.output().expect("the built program");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{text}");
        assert!(text.contains(&format!("{expected} has no table [fleet]")), "{text}");
    }
}
