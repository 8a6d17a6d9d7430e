//! The cases of the second review, each a scenario that starts gateways and plays their clients, hosts and discovery.
//!
//! `review-2 CASE ROOT FOLDER TEMPORARY`: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
//! `TROUBLE=0` in the environment plays the case without its disruption.

mod client;
mod discovery;
mod gateway;
mod host;
mod net;
mod record;
mod site;

mod drain_polls;
mod pipeline_close;
mod pipeline_late;

mod refused_window;

use record::Record;
use std::path::PathBuf;
use std::process::exit;
use std::thread;
use std::time::Duration;

/// No case takes longer than this; its script then ends what is left.
const LONGEST: Duration = Duration::from_secs(115);

/// What a case is given.
pub struct Setting {
    /// The root of the repository.
    pub root: PathBuf,
    /// A temporary folder of this run.
    pub temporary: PathBuf,
    pub record: Record,
    /// Whether the disruption is played.
    pub trouble: bool,
}

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
}

pub type CaseResult = Result<Verdict, Box<dyn std::error::Error>>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, folder, temporary] = arguments.as_slice() else {
        eprintln!("review-2 CASE ROOT FOLDER TEMPORARY");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(&PathBuf::from(folder).join("record.txt")) else { exit(2) };
    let setting = Setting {
        root: PathBuf::from(root),
        temporary: PathBuf::from(temporary),
        record: record.clone(),
        trouble,
    };
    record.say(&format!("case {case}, trouble {trouble}"));
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(LONGEST);
        watched.say("the case could not run: it took too long");
        exit(2);
    });
    let result = match case.as_str() {
        "pipeline-late" => pipeline_late::run(&setting),
        "refused-window" => refused_window::run(&setting),
        "pipeline-close" => pipeline_close::run(&setting),
        "drain-polls" => drain_polls::run(&setting),
        _ => Err("no such case".into()),
    };
    let code = match result {
        Ok(Verdict::Held) => {
            record.say("the rule held");
            0
        }
        Ok(Verdict::Broken) => {
            record.say("THE RULE WAS BROKEN");
            1
        }
        Err(error) => {
            record.say(&format!("the case could not run: {error}"));
            2
        }
    };
    record.flush();
    // All gateways have ended: nothing is left for the script to end.
    let _ = std::fs::remove_file(setting.temporary.join("pids"));
    exit(code);
}
