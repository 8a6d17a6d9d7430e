//! Answers the queries that administrators send over the fleet's link.

use super::link_codec::{FrameReader, FrameWriter, LinkError};
use super::Fleet;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde_json::{json, Value};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};
use weldworks_fleet::audit::{AuditQuery, RequestReport};
use weldworks_fleet::protocol::{self, AdminQuery, Frame};
use weldworks_fleet::state_machine::{Command, StateMachine};

/// Time after which an administrator's idle connection is closed.
const ADMIN_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time to wait for a proposal to be committed. After that, the administrator gets the answer that the outcome is unknown.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which a proposal is checked for having been committed.
const COMMIT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Answers one administrator's queries until the connection ends or has been idle for [`ADMIN_IDLE_TIMEOUT`].
pub(super) async fn serve(
    fleet: &Rc<Fleet>,
    mut reader: FrameReader,
    mut writer: FrameWriter,
) -> Result<(), LinkError> {
    while let Ok(Some(Ok(bytes))) = timeout(ADMIN_IDLE_TIMEOUT, reader.next()).await {
        let Frame::AdminQuery(query) = protocol::decode_frame(&bytes)? else {
            return Err(LinkError::NotAnAdminQuery);
        };
        let answer = fleet.answer_query(query).await;
        let frame = encode_answer(answer);
        if timeout(ADMIN_IDLE_TIMEOUT, writer.send(Bytes::from(frame))).await.is_err() {
            return Ok(());
        }
    }
    Ok(())
}

/// Encodes an answer to an administrator; an answer that exceeds one frame is replaced by an error.
fn encode_answer(answer: String) -> Vec<u8> {
    let too_long = || error_answer("the answer is too long for one frame: ask for fewer lists");
    protocol::encode_frame(&Frame::AdminAnswer(answer))
        .or_else(|| protocol::encode_frame(&Frame::AdminAnswer(too_long())))
        .unwrap_or_default()
}

fn error_answer(text: &str) -> String {
    json!({ "error": text }).to_string()
}

impl Fleet {
    /// Executes an administrator's query and returns the answer as JSON.
    async fn answer_query(&self, query: AdminQuery) -> String {
        let now = self.now();
        let answer = match query {
            AdminQuery::Status => serde_json::to_value(self.node.borrow().status(now)).unwrap_or_default(),
            AdminQuery::Audit { from_index, to_index } => {
                let lists = from_index..=to_index;
                let report = serde_json::to_value(self.audit.borrow().report_lists(now, lists.clone()));
                self.with_history(report.unwrap_or_default(), AuditQuery::Lists(lists)).await
            }
            AdminQuery::Request { request_id } => {
                let RequestReport { since_ms, steps } = self.audit.borrow().report_request(&request_id);
                let report = json!({ "since_ms": since_ms, "steps": steps });
                self.with_history(report, AuditQuery::Request(request_id)).await
            }
            AdminQuery::Propose(command) => match *command {
                command @ (Command::SetFenced { .. } | Command::SetRequirements(_)) => {
                    return self.propose(command).await;
                }
                _ => return error_answer("this is not for staff to decide"),
            },
        };
        let gateway = self.settings.gateway.clone();
        let process = self.node.borrow().process().to_string();
        // Times in answers are relative to the start of the answering process. Its wall-clock start lets a reader compare gateways.
        let began_unix_ms = self.began_unix_ms;
        json!({ "gateway": gateway, "process": process, "began_unix_ms": began_unix_ms, "answer": answer })
            .to_string()
    }

    /// Adds the history on disk to a report: that of earlier processes, and that of this process which is no longer in memory. If it
    /// cannot be read, the reason is added instead.
    async fn with_history(&self, mut report: Value, query: AuditQuery) -> Value {
        let Some(audit_store) = &self.audit_store else { return report };
        let own = self.audit.borrow().memory_span(self.node.borrow().process());
        match audit_store.read_history(query, own).await {
            Ok(history) => report["earlier"] = serde_json::to_value(history).unwrap_or_default(),
            Err(error) => report["earlier_unread"] = error.to_string().into(),
        }
        report
    }

    /// Proposes a command to the consensus group, and waits until this gateway's state machine has applied it.
    async fn propose(&self, command: Command) -> String {
        let log_index = || self.node.borrow().state_machine().map(StateMachine::log_index);
        let Some(index_before) = log_index() else {
            return error_answer("this gateway has no seat in the council: ask one that has");
        };
        let proposed = command.clone();
        let mut is_proposed = false;
        self.step(|node, _, _| is_proposed = node.propose(command));
        if !is_proposed {
            return error_answer("the council has no leader that this gateway knows of; nothing was decided");
        }
        let deadline = Instant::now() + COMMIT_TIMEOUT;
        while Instant::now() < deadline {
            sleep(COMMIT_CHECK_INTERVAL).await;
            if log_index() > Some(index_before) && self.is_in_force(&proposed) {
                return json!({ "decided": true, "position": log_index() }).to_string();
            }
        }
        error_answer(&format!(
            "not seen to be decided within {COMMIT_TIMEOUT:?}; it may be still: look at `fleet status`"
        ))
    }

    /// Whether this gateway's state machine has the state that the command sets.
    fn is_in_force(&self, command: &Command) -> bool {
        let node = self.node.borrow();
        let Some(state_machine) = node.state_machine() else { return false };
        match command {
            Command::SetFenced { name, fenced } => {
                let is_fenced = state_machine.fenced_by_administrator().any(|other| other == name);
                is_fenced == *fenced
            }
            Command::SetRequirements(requirements) => state_machine.requirements() == requirements,
            _ => true,
        }
    }
}
