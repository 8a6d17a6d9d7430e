//! Runs many instances of the load balancer on the simulator's protocol: each line of input is a batch of events as JSON,
//! and each line of output the JSON reply to a batch. This package only translates the protocol; the balancer makes all decisions.

mod error;
mod instance;
mod protocol;

pub use error::{EventError, InputError};

use instance::{EventContext, Instance};
use protocol::{Batch, EventFields, EventKind, ListEntry, ReplyWriter};
use rustc_hash::FxHashMap;
use std::time::Duration;
use weldworks_balancer::load_report::LoadReportFields;
use weldworks_balancer::{duration_from_seconds, parse_settings, Action};

/// All balancer instances of this process, by their numbers in the simulator's protocol.
#[derive(Default)]
pub struct Adapter {
    instances: FxHashMap<u64, Instance>,
    /// Endpoint lists that the simulator has defined, by their numbers.
    lists: FxHashMap<u64, Vec<ListEntry>>,
    /// Buffer for the actions of one event, reused for the next event.
    actions: Vec<Action>,
    /// Number of input lines so far.
    lines: u64,
}

impl Adapter {
    /// Answers one line of input with one line of output, which has no line end.
    ///
    /// # Errors
    /// Returns an error if the line is not a batch, or contains an event that cannot be handled.
    /// The events before that event have taken effect.
    pub fn answer(&mut self, line: &str) -> Result<String, InputError> {
        self.lines += 1;
        let batch: Batch<'_> = serde_json::from_str(line)
            .map_err(|source| InputError::Malformed { line: self.lines, source })?;
        let now = duration_from_seconds(batch.now_s);
        let mut reply = ReplyWriter::new(batch.number);
        for event in batch.events {
            self.on_event(now, event, &mut reply)
                .map_err(|source| InputError::InvalidEvent { batch: batch.number, source })?;
        }
        Ok(reply.finish())
    }

    fn on_event(
        &mut self,
        now: Duration,
        fields: EventFields<'_>,
        reply: &mut ReplyWriter,
    ) -> Result<(), EventError> {
        let kind = EventKind::from_wire_name(&fields.kind);
        if kind == Some(EventKind::ListDefined) {
            return self.define_list(fields);
        }
        let gateway = fields.gateway.ok_or_else(|| fields.missing("gateway"))?;
        if kind == Some(EventKind::InstanceStarted) {
            return self.start_instance(gateway, &fields);
        }
        let Some(instance) = self.instances.get_mut(&gateway) else {
            return Err(EventError::UnknownInstance { event: fields.kind.into_owned(), instance: gateway });
        };
        let Some(kind) = kind else {
            return Err(EventError::UnknownEvent(fields.kind.into_owned()));
        };
        let mut context = EventContext { now, gateway, actions: &mut self.actions, reply };
        match kind {
            EventKind::EndpointsChanged => {
                instance.on_endpoints_changed(&fields, &self.lists, &mut context)?;
            }
            EventKind::RequestReceived => instance.on_request(&fields, &mut context)?,
            EventKind::ResponseStarted => instance.on_response_started(&fields, &mut context),
            EventKind::AttemptEnded => instance.on_attempt_ended(&fields, &mut context)?,
            EventKind::ClientDisconnected => instance.on_client_disconnected(&fields, &mut context),
            EventKind::TimerDue => instance.on_timer(&fields, &mut context)?,
            EventKind::ProbeEnded => instance.on_probe_ended(&fields, &mut context)?,
            EventKind::InstanceEnded => {
                self.instances.remove(&gateway);
            }
            // ListDefined and InstanceStarted are handled above; PeerMessage is ignored.
            EventKind::ListDefined | EventKind::InstanceStarted | EventKind::PeerMessage => {}
        }
        Ok(())
    }

    fn define_list(&mut self, mut fields: EventFields<'_>) -> Result<(), EventError> {
        let endpoints = fields.endpoints.take().ok_or_else(|| fields.missing("elements"))?;
        let number = fields.list_number.ok_or_else(|| fields.missing("roster_id"))?;
        self.lists.insert(number, endpoints.into_iter().map(ListEntry::from).collect());
        Ok(())
    }

    fn start_instance(&mut self, gateway: u64, fields: &EventFields<'_>) -> Result<(), EventError> {
        let document = fields.settings.ok_or_else(|| fields.missing("profile_data"))?.get();
        let settings = parse_settings(document)?;
        let seed = fields.seed.ok_or_else(|| fields.missing("random_seed"))?;
        let load_report_fields = LoadReportFields::parse(document)?;
        self.instances.insert(gateway, Instance::new(settings, load_report_fields, seed));
        Ok(())
    }
}
