//! What staff ask over the link, and what this gateway answers.

use super::peer_link::{Reader, Writer};
use super::Fleet;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde_json::{json, Value};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};
use weldworks_fleet::audit::AuditQuery;
use weldworks_fleet::protocol::{self, AdminQuery, Frame};
use weldworks_fleet::state_machine::{Command, StateMachine};

/// Staff who ask nothing for so long are cut off.
const QUIET: Duration = Duration::from_secs(5);
/// What staff want decided is decided within this, or they are told that it is not known to be.
const DECIDED: Duration = Duration::from_secs(2);
/// Between two looks whether it is.
const LOOK: Duration = Duration::from_millis(20);

/// Answers one caller's questions.
pub(super) async fn serve(fleet: &Rc<Fleet>, mut reader: Reader, mut writer: Writer) -> Result<(), String> {
    while let Ok(Some(Ok(bytes))) = timeout(QUIET, reader.next()).await {
        let Frame::AdminQuery(question) = protocol::decode_frame(&bytes).map_err(|e| e.to_string())? else {
            return Err("staff may only ask".to_owned());
        };
        let answer = fleet.told(question).await;
        let long =
            || json!({ "error": "the answer is too long for one frame: ask for fewer lists" }).to_string();
        let frame = protocol::encode_frame(&Frame::AdminAnswer(answer))
            .or_else(|| protocol::encode_frame(&Frame::AdminAnswer(long())));
        let frame = frame.unwrap_or_default();
        if timeout(QUIET, writer.send(Bytes::from(frame))).await.is_err() {
            return Ok(());
        }
    }
    Ok(())
}

impl Fleet {
    /// The answer to a question, as JSON.
    async fn told(&self, question: AdminQuery) -> String {
        let now = self.now();
        let answer = match question {
            AdminQuery::Status => serde_json::to_value(self.agent.borrow().status(now)),
            AdminQuery::Audit { from_index, to_index } => {
                let lists = from_index..=to_index;
                let told = serde_json::to_value(self.audit.borrow().report_lists(now, lists.clone()));
                Ok(self.with_past(told.unwrap_or_default(), AuditQuery::Lists(lists)).await)
            }
            AdminQuery::Request { request_id: number } => {
                let report = self.audit.borrow().report_request(&number);
                let told = json!({ "since_ms": report.since_ms, "steps": report.steps });
                Ok(self.with_past(told, AuditQuery::Request(number)).await)
            }
            AdminQuery::Propose(entry) => match *entry {
                entry @ (Command::SetFenced { .. } | Command::SetRequirements(_)) => {
                    return self.decide(entry).await
                }
                _ => return json!({ "error": "this is not for staff to decide" }).to_string(),
            },
        };
        let answer = answer.unwrap_or_default();
        let gateway = self.settings.gateway.clone();
        let process = self.agent.borrow().process().to_string();
        // Each gateway's times count from its own start; this ties them to its wall clock, for a reader to compare by eye.
        let began_unix_ms = self.began_unix_ms;
        json!({ "gateway": gateway, "process": process, "began_unix_ms": began_unix_ms, "answer": answer })
            .to_string()
    }

    /// Adds what is on the disk of earlier processes, and of this one before its memory; or why that is not known.
    async fn with_past(&self, mut told: Value, wanted: AuditQuery) -> Value {
        let Some(books) = &self.books else { return told };
        let own = self.audit.borrow().memory_span(self.agent.borrow().process());
        match books.read_history(wanted, own).await {
            Ok(past) => told["earlier"] = serde_json::to_value(past).unwrap_or_default(),
            Err(why) => told["earlier_unread"] = why.into(),
        }
        told
    }

    /// Proposes what staff want, and waits until the register has come past it.
    async fn decide(&self, entry: Command) -> String {
        let position = || self.agent.borrow().state_machine().map(StateMachine::log_index);
        let Some(before) = position() else {
            return json!({ "error": "this gateway has no seat in the council: ask one that has" })
                .to_string();
        };
        let wanted = entry.clone();
        let mut proposed = false;
        self.step(|agent, _, _| proposed = agent.propose(entry));
        if !proposed {
            return json!({ "error": "the council has no leader that this gateway knows of; nothing was decided" }).to_string();
        }
        let until = Instant::now() + DECIDED;
        while Instant::now() < until {
            sleep(LOOK).await;
            if position() > Some(before) && self.holds(&wanted) {
                return json!({ "decided": true, "position": position() }).to_string();
            }
        }
        json!({ "error": format!("not seen to be decided within {DECIDED:?}; it may be still: look at `fleet status`") })
            .to_string()
    }

    /// Whether the register stands as staff wanted.
    fn holds(&self, wanted: &Command) -> bool {
        let agent = self.agent.borrow();
        let Some(register) = agent.state_machine() else { return false };
        match wanted {
            Command::SetFenced { name, fenced: out } => {
                register.fenced_by_administrator().any(|held| held == name) == *out
            }
            Command::SetRequirements(require) => register.requirements() == require,
            _ => true,
        }
    }
}
