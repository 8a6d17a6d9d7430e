//! What staff ask all gateways of a fleet, and how the answers are shown. Who could not be asked is always named: that nobody did
//! something is only said once all have answered.

use crate::transport::stream::Stream;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde_json::{json, Value};
use std::fmt::Write;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use weldworks_fleet::protocol::{self, AdminQuery, Caller, Frame, Hello, MAX_FRAME_BYTES};
use weldworks_fleet::settings::{FleetSettings, Peer};
use weldworks_fleet::state_machine::{Command, Requirements};
use weldworks_fleet::version::ListVersion;

/// One that does not answer within this could not be asked.
const ANSWER: Duration = Duration::from_secs(4);

/// What is asked.
#[derive(Clone, Debug, clap::Subcommand)]
pub enum FleetCommand {
    /// Who is in, who leads, who lags by how much, who is shut out and why.
    Status,
    /// Shut a gateway out: it takes no client until it is let in again.
    Out {
        /// Its name.
        gateway: String,
    },
    /// Let it in again.
    In {
        /// Its name.
        gateway: String,
    },
    /// Declare what counts as current; what is left out is not required any more.
    Require {
        /// Lists have at least this index, on this lineage, as LINEAGE=INDEX.
        #[arg(long)]
        list: Option<String>,
        /// The configuration's digest, as `fleet status` shows it.
        #[arg(long)]
        config: Option<String>,
        /// The build, likewise.
        #[arg(long)]
        build: Option<String>,
    },
}

/// What is asked of the books.
#[derive(Clone, Debug, clap::Args)]
pub struct AuditArgs {
    /// Under lists from this index on.
    #[arg(long, default_value_t = 0)]
    pub from_list: u64,
    /// And up to this one.
    #[arg(long, default_value_t = u64::MAX)]
    pub to_list: u64,
    /// Only what was done after this moment, in Unix milliseconds by each gateway's own wall clock.
    #[arg(long)]
    pub after: Option<u64>,
    /// What the request of this number met, as its client wrote it in X-Request-ID.
    #[arg(long, conflicts_with_all = ["from_list", "to_list", "after"])]
    pub request: Option<String>,
}

/// One gateway's answer, or why there is none.
struct Answered {
    gateway: String,
    answer: Result<Value, String>,
}

/// What is shown, and whether all have answered.
pub struct Shown {
    /// The text.
    pub text: String,
    /// All have.
    pub whole: bool,
    /// It was done, where something was to be done.
    pub done: bool,
}

async fn ask(fleet: &str, peer: &Peer, question: &AdminQuery) -> Answered {
    let asking = async {
        let stream = TcpStream::connect(peer.address).await.map_err(|e| e.to_string())?;
        let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
        let mut framed = Framed::new(Stream::new(stream), codec);
        let hello =
            protocol::encode_frame(&Hello::new(fleet, Caller::Administrator, &peer.name)).unwrap_or_default();
        let question =
            protocol::encode_frame(&Frame::AdminQuery(question.clone())).ok_or("the question is too long")?;
        framed.send(Bytes::from(hello)).await.map_err(|e| e.to_string())?;
        framed.send(Bytes::from(question)).await.map_err(|e| e.to_string())?;
        let gone = || "it ended the connection: its log says why".to_owned();
        let _hello = framed.next().await.ok_or_else(gone)?.map_err(|e| e.to_string())?;
        let bytes = framed.next().await.ok_or_else(gone)?.map_err(|e| e.to_string())?;
        match protocol::decode_frame(&bytes) {
            Ok(Frame::AdminAnswer(text)) => serde_json::from_str(&text).map_err(|e| e.to_string()),
            Ok(_) => Err("it answered with something else".to_owned()),
            Err(error) => Err(error.to_string()),
        }
    };
    let answer = match timeout(ANSWER, asking).await {
        Ok(answer) => answer,
        Err(_) => Err(format!("no answer within {ANSWER:?}")),
    };
    Answered { gateway: peer.name.clone(), answer }
}

async fn ask_all(settings: &FleetSettings, question: &AdminQuery) -> Vec<Answered> {
    let asked = settings.peers.iter().map(|peer| ask(&settings.name, peer, question));
    let mut all = futures_util::future::join_all(asked).await;
    // One that answers that it can't tell has not told.
    for Answered { answer, .. } in &mut all {
        if let Some(why) = answer.as_ref().ok().and_then(|told| told["error"].as_str()).map(str::to_owned) {
            *answer = Err(why);
        }
    }
    all
}

/// Puts what staff want before the council, one member after the other until one can have it decided.
async fn decide(settings: &FleetSettings, entry: Command) -> Shown {
    let question = AdminQuery::Propose(Box::new(entry));
    let mut why = Vec::new();
    for peer in settings.voters() {
        let Answered { gateway, answer } = ask(&settings.name, peer, &question).await;
        match answer {
            Ok(answer) if answer["decided"] == true => {
                let text = format!("decided by way of {gateway}, at position {}\n", answer["position"]);
                return Shown { text, whole: true, done: true };
            }
            Ok(answer) => {
                why.push(format!("{gateway}: {}", answer["error"].as_str().unwrap_or("no reason given")))
            }
            Err(error) => why.push(format!("{gateway}: {error}")),
        }
    }
    Shown { text: format!("not decided\n  {}\n", why.join("\n  ")), whole: false, done: false }
}

/// Why a command can't be carried out.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// What it says is not as it should be.
    #[error("{0}")]
    Wrong(String),
}

fn requirement(
    list: Option<&str>,
    config: Option<&str>,
    build: Option<&str>,
) -> Result<Requirements, CommandError> {
    let list = list.map(|text| {
        let parts = text.rsplit_once('=').and_then(|(l, i)| Some((l.to_owned(), i.parse().ok()?)));
        let wrong =
            || CommandError::Wrong(format!("--list {text:?} is not LINEAGE=INDEX, as in 127.0.0.1:8500=42"));
        parts.map(|(lineage, index)| ListVersion { lineage, index }).ok_or_else(wrong)
    });
    let config = config.map(|text| {
        let wrong =
            || CommandError::Wrong(format!("--config {text:?} is not a digest of 16 hexadecimal digits"));
        u64::from_str_radix(text, 16).map_err(|_| wrong())
    });
    Ok(Requirements { list: list.transpose()?, config: config.transpose()?, build: build.map(str::to_owned) })
}

/// Carries a command out.
///
/// # Errors
/// Where what it says is not as it should be.
pub async fn command(
    settings: &FleetSettings,
    command: &FleetCommand,
    json: bool,
) -> Result<Shown, CommandError> {
    let known = |name: &String| {
        let peers: Vec<_> = settings.peers.iter().map(|p| p.name.as_str()).collect();
        let wrong =
            || CommandError::Wrong(format!("no gateway is named {name:?}; there are {}", peers.join(", ")));
        peers.contains(&name.as_str()).then_some(()).ok_or_else(wrong)
    };
    Ok(match command {
        FleetCommand::Status => {
            let all = ask_all(settings, &AdminQuery::Status).await;
            show(all, json, status)
        }
        FleetCommand::Out { gateway } => {
            known(gateway)?;
            decide(settings, Command::SetFenced { name: gateway.clone(), fenced: true }).await
        }
        FleetCommand::In { gateway } => {
            known(gateway)?;
            decide(settings, Command::SetFenced { name: gateway.clone(), fenced: false }).await
        }
        FleetCommand::Require { list, config, build } => {
            let require = requirement(list.as_deref(), config.as_deref(), build.as_deref())?;
            decide(settings, Command::SetRequirements(require)).await
        }
    })
}

/// Asks the books.
pub async fn audit(settings: &FleetSettings, arguments: &AuditArgs, json: bool) -> Shown {
    if let Some(number) = &arguments.request {
        let all = ask_all(settings, &AdminQuery::Request { request_id: number.clone() }).await;
        return show(all, json, |answers| request(number, answers));
    }
    let (from_index, to_index) = (arguments.from_list, arguments.to_list);
    let mut all = ask_all(settings, &AdminQuery::Audit { from_index, to_index }).await;
    if let Some(after) = arguments.after {
        for answered in &mut all {
            if let Ok(answer) = &mut answered.answer {
                keep_after(answer, after);
            }
        }
    }
    show(all, json, books)
}

/// Leaves out what was over before a moment, of this process and of those before it.
fn keep_after(answer: &mut Value, after: u64) {
    let began = answer["began_unix_ms"].as_u64().unwrap_or_default();
    let told = &mut answer["answer"];
    keep_since(told, began, after);
    if let Some(earlier) = told["earlier"]["processes"].as_array_mut() {
        for process in earlier.iter_mut() {
            let began = process["began_unix_ms"].as_u64().unwrap_or_default();
            keep_since(process, began, after);
        }
        earlier.retain(|process| {
            ["unknown", "intervals", "exceptions"]
                .iter()
                .any(|kind| process[kind].as_array().is_some_and(|all| !all.is_empty()))
        });
    }
}

fn keep_since(told: &mut Value, began: u64, after: u64) {
    for kind in ["unknown", "intervals", "exceptions"] {
        if let Some(all) = told[kind].as_array_mut() {
            all.retain(|one| one["to_ms"].as_u64().is_none_or(|to| began + to >= after));
        }
    }
}

fn show(all: Vec<Answered>, json: bool, text: impl Fn(&[Value]) -> String) -> Shown {
    let mut answers = Vec::new();
    let mut silent = Vec::new();
    for Answered { gateway, answer } in all {
        match answer {
            Ok(answer) => answers.push(answer),
            Err(why) => silent.push((gateway, why)),
        }
    }
    let whole = silent.is_empty();
    if json {
        let silent: Vec<Value> =
            silent.iter().map(|(gateway, why)| json!({ "gateway": gateway, "why": why })).collect();
        let all = json!({ "gateways": answers, "not_asked": silent, "complete": whole });
        return Shown { text: format!("{all:#}\n"), whole, done: true };
    }
    let mut shown = text(&answers);
    for (gateway, why) in &silent {
        let _ = writeln!(shown, "{gateway:<12} could not be asked: {why}");
    }
    if !whole {
        let _ = writeln!(
            shown,
            "incomplete: nothing is known of what {} did",
            if silent.len() == 1 { "that one" } else { "those" }
        );
    }
    Shown { text: shown, whole, done: true }
}

fn word(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

/// A number as text, which takes a width.
fn figure(value: &Value) -> String {
    value.to_string()
}

fn status(answers: &[Value]) -> String {
    let mut text = format!(
        "{:<12} {:<40} {:>10} {:>8} {:<16} build\n",
        "gateway", "standing", "list", "behind", "configuration"
    );
    for answer in answers {
        let s = &answer["answer"];
        let (index, current) = (s["version"]["list"]["index"].as_u64(), s["current"].as_u64());
        let behind = current.unwrap_or_default().saturating_sub(index.unwrap_or_default());
        let _ = writeln!(
            text,
            "{:<12} {:<40} {:>10} {:>8} {:016x} {}",
            word(&s["gateway"]),
            word(&s["standing"]),
            index.unwrap_or_default(),
            behind,
            s["version"]["config"].as_u64().unwrap_or_default(),
            word(&s["version"]["build"])
        );
    }
    for answer in answers {
        let s = &answer["answer"];
        if let Some(council) = s["council"].as_array() {
            let votes = if council[1] == true { "votes" } else { "has no vote" };
            let _ = writeln!(
                text,
                "{:<12} council: configuration {}, {votes}, leader {}, register at {}",
                word(&s["gateway"]),
                council[0],
                word(&s["leader"]),
                s["position"]
            );
        }
        for member in s["members"].as_array().into_iter().flatten() {
            if !matches!(word(&member[1]), "Here" | "Unknown") {
                let _ = writeln!(
                    text,
                    "{:<12} sees {}: {}",
                    word(&s["gateway"]),
                    word(&member[0]),
                    word(&member[1])
                );
            }
        }
    }
    text
}

fn books(answers: &[Value]) -> String {
    let mut text = String::new();
    for answer in answers {
        let (gateway, told) = (word(&answer["gateway"]), &answer["answer"]);
        for process in earlier(told) {
            let _ = writeln!(
                text,
                "{gateway} (process {}, begun at {} by its wall clock): on disk from {} to {} ms",
                word(&process["process"]),
                process["began_unix_ms"],
                process["since_ms"],
                process["until_ms"]
            );
            lines(&mut text, process);
        }
        unread(&mut text, gateway, told);
        let _ = writeln!(
            text,
            "{gateway} (process {}): books since {} ms, {} intervals and {} exceptions forgotten",
            word(&answer["process"]),
            told["since_ms"],
            told["forgotten"],
            told["exceptions_forgotten"]
        );
        lines(&mut text, told);
    }
    text
}

fn earlier(told: &Value) -> impl Iterator<Item = &Value> {
    told["earlier"]["processes"].as_array().into_iter().flatten()
}

/// What of the time before is not told, and why.
fn unread(text: &mut String, gateway: &str, told: &Value) {
    if let Some(why) = told["earlier_unread"].as_str() {
        let _ = writeln!(text, "{gateway}: what its processes before did is unknown: {why}");
    }
    if let Some(more) = told["earlier"]["more"].as_u64().filter(|more| *more > 0) {
        let _ = writeln!(text, "{gateway}: {more} earlier entries are not shown: ask for fewer lists");
    }
}

fn lines(text: &mut String, told: &Value) {
    for gap in told["unknown"].as_array().into_iter().flatten() {
        let what = if word(&gap["what"]) == "Requests" { "single requests" } else { "everything" };
        let _ = writeln!(
            text,
            "  {:>9} to {:>9} ms  unknown: {what}",
            figure(&gap["from_ms"]),
            figure(&gap["to_ms"])
        );
    }
    for interval in told["intervals"].as_array().into_iter().flatten() {
        let decisions: Vec<String> = interval["decisions"]
            .as_array()
            .into_iter()
            .flatten()
            .map(|d| format!("{} {} of class {}", d[2], word(&d[0]).to_lowercase(), d[1]))
            .collect();
        let to = interval["to_ms"].as_u64().map_or("now".to_owned(), |to| to.to_string());
        let _ = writeln!(
            text,
            "  {:>9} to {to:>9} ms  list {} of {}, configuration {:016x} ({}), register {} to {}: {}",
            figure(&interval["from_ms"]),
            interval["version"]["list"]["index"],
            word(&interval["version"]["list"]["lineage"]),
            interval["version"]["config"].as_u64().unwrap_or_default(),
            interval["version"]["generation"],
            interval["register"][0],
            interval["register"][1],
            if decisions.is_empty() { "nothing".to_owned() } else { decisions.join(", ") }
        );
    }
    for run in told["exceptions"].as_array().into_iter().flatten() {
        let _ = writeln!(
            text,
            "  {:>9} to {:>9} ms  exception: {}, {} times, first request {}",
            figure(&run["from_ms"]),
            figure(&run["to_ms"]),
            run["what"],
            run["count"],
            word(&run["first"])
        );
    }
}

fn request(number: &str, answers: &[Value]) -> String {
    let mut text = String::new();
    let mut met = false;
    for answer in answers {
        let (gateway, told) = (word(&answer["gateway"]), &answer["answer"]);
        let before = earlier(told).map(|of| (format!(" (process {})", word(&of["process"])), of));
        for (which, of) in before.chain([(String::new(), told)]) {
            for step in of["steps"].as_array().into_iter().flatten() {
                met = true;
                let _ = writeln!(
                    text,
                    "{gateway:<12} {:>9} ms  {} {} under list {}{which}",
                    figure(&step["at_ms"]),
                    word(&step["kind"]).to_lowercase(),
                    word(&step["host"]),
                    step["version"]["list"]["index"]
                );
            }
        }
        for process in earlier(told) {
            for gap in process["unknown"].as_array().into_iter().flatten() {
                let _ = writeln!(
                    text,
                    "{gateway:<12} {:>9} to {:>9} ms  unknown (process {})",
                    figure(&gap["from_ms"]),
                    figure(&gap["to_ms"]),
                    word(&process["process"])
                );
            }
        }
        unread(&mut text, gateway, told);
    }
    if !met {
        let _ = writeln!(text, "nobody who answered has met {number:?} in the time that its books hold");
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_over_before_a_moment_is_left_out() {
        let mut answer = json!({"began_unix_ms": 1000, "answer": {
            "intervals": [{"to_ms": 5}, {"to_ms": 50}, {"to_ms": null}], "exceptions": [{"to_ms": 3}]}});
        let earlier = json!([{"began_unix_ms": 0, "unknown": [{"to_ms": 1030}, {"to_ms": 9}]}, {"began_unix_ms": 0, "intervals": [{"to_ms": 9}]}]);
        answer["answer"]["earlier"] = json!({"processes": earlier});
        keep_after(&mut answer, 1020);
        let earlier = answer["answer"]["earlier"]["processes"].as_array().expect("processes");
        assert!(earlier.len() == 1 && earlier[0]["unknown"].as_array().is_some_and(|all| all.len() == 1));
        assert_eq!(answer["answer"]["intervals"].as_array().map(Vec::len), Some(2));
        assert_eq!(answer["answer"]["exceptions"].as_array().map(Vec::len), Some(0));
    }

    #[test]
    fn requirements_are_read_or_turned_down_with_an_example() {
        let require = requirement(Some("127.0.0.1:1=42"), Some("00ff"), None).expect("as it should be");
        assert_eq!(require.list.map(|l| (l.lineage, l.index)), Some(("127.0.0.1:1".into(), 42)));
        assert_eq!(require.config, Some(255));
        for wrong in ["42", "r=", "r=x"] {
            let error = requirement(Some(wrong), None, None).expect_err("no list");
            assert!(error.to_string().contains("LINEAGE=INDEX"), "{error}");
        }
        assert!(requirement(None, Some("xyz"), None).is_err());
    }

    #[test]
    fn nobody_is_said_only_when_all_have_answered() {
        let answered = |gateway: &str, answer| Answered { gateway: gateway.into(), answer };
        let nothing = || Ok(json!({"gateway": "g0", "answer": {"steps": []}}));
        let whole = show(vec![answered("g0", nothing())], false, |a| request("7", a));
        assert!(whole.whole && whole.text.contains("nobody") && !whole.text.contains("incomplete"));
        let part = show(vec![answered("g0", nothing()), answered("g1", Err("refused".into()))], false, |a| {
            request("7", a)
        });
        assert!(!part.whole && part.text.contains("g1") && part.text.contains("incomplete"));
    }
}
