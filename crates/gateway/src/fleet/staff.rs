//! What staff ask over the link, and what this gateway answers.

use super::link::{Reader, Writer};
use super::Fleet;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde_json::{json, Value};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};
use weldworks_fleet::audit::pages::Wanted;
use weldworks_fleet::register::{Entry, Register};
use weldworks_fleet::wire::{self, Frame, Question};

/// Staff who ask nothing for so long are cut off.
const QUIET: Duration = Duration::from_secs(5);
/// What staff want decided is decided within this, or they are told that it is not known to be.
const DECIDED: Duration = Duration::from_secs(2);
/// Between two looks whether it is.
const LOOK: Duration = Duration::from_millis(20);

/// Answers one caller's questions.
pub(super) async fn serve(fleet: &Rc<Fleet>, mut reader: Reader, mut writer: Writer) -> Result<(), String> {
    while let Ok(Some(Ok(bytes))) = timeout(QUIET, reader.next()).await {
        let Frame::Ask(question) = wire::read(&bytes).map_err(|e| e.to_string())? else {
            return Err("staff may only ask".to_owned());
        };
        let answer = fleet.told(question).await;
        let long =
            || json!({ "error": "the answer is too long for one frame: ask for fewer lists" }).to_string();
        let frame = wire::write(&Frame::Answer(answer)).or_else(|| wire::write(&Frame::Answer(long())));
        let frame = frame.unwrap_or_default();
        if timeout(QUIET, writer.send(Bytes::from(frame))).await.is_err() {
            return Ok(());
        }
    }
    Ok(())
}

impl Fleet {
    /// The answer to a question, as JSON.
    async fn told(&self, question: Question) -> String {
        let now = self.now();
        let answer = match question {
            Question::Status => serde_json::to_value(self.agent.borrow().status(now)),
            Question::Audit { from_index, to_index } => {
                let lists = from_index..=to_index;
                let told = serde_json::to_value(self.audit.borrow().told(now, lists.clone()));
                Ok(self.with_past(told.unwrap_or_default(), Wanted::Lists(lists)).await)
            }
            Question::Request { number } => {
                let (since_ms, steps) = self.audit.borrow().request(&number);
                let told = json!({ "since_ms": since_ms, "steps": steps });
                Ok(self.with_past(told, Wanted::Request(number)).await)
            }
            Question::Decide(entry) => match *entry {
                entry @ (Entry::Hold { .. } | Entry::Require(_)) => return self.decide(entry).await,
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
    async fn with_past(&self, mut told: Value, wanted: Wanted) -> Value {
        let Some(books) = &self.books else { return told };
        let own = self.audit.borrow().remembered(self.agent.borrow().process());
        match books.past(wanted, own).await {
            Ok(past) => told["earlier"] = serde_json::to_value(past).unwrap_or_default(),
            Err(why) => told["earlier_unread"] = why.into(),
        }
        told
    }

    /// Proposes what staff want, and waits until the register has come past it.
    async fn decide(&self, entry: Entry) -> String {
        let position = || self.agent.borrow().register().map(Register::position);
        let Some(before) = position() else {
            return json!({ "error": "this gateway has no seat in the council: ask one that has" })
                .to_string();
        };
        let wanted = entry.clone();
        let mut proposed = false;
        self.step(|agent, _, _| proposed = agent.decide(entry));
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
    fn holds(&self, wanted: &Entry) -> bool {
        let agent = self.agent.borrow();
        let Some(register) = agent.register() else { return false };
        match wanted {
            Entry::Hold { name, out } => register.held().any(|held| held == name) == *out,
            Entry::Require(require) => register.required() == require,
            _ => true,
        }
    }
}
