//! The engine's event loop, which turns messages and timers into balancer events, and the restart of a balancer that has panicked.

use super::message::Message;
use super::timers::Timer;
use super::Engine;
use crate::discovery::watch::ListDelivery;
use hyper::StatusCode;
use std::panic::{catch_unwind, AssertUnwindSafe};
use tokio::sync::oneshot;
use tokio::time::{sleep_until, Instant};
use tracing::{error, info};
use weldworks_balancer::{Balancer, EndpointId, Event, Snapshot};

impl Engine {
    /// Runs the engine until every handle has been dropped, which is for as long as the process lives.
    pub async fn run(mut self) {
        if self.list_delivery() == ListDelivery::Push {
            self.open_watch();
        }
        loop {
            let next_due = self.timers.next_due();
            let timer = async {
                match next_due {
                    Some(at) => sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                biased;
                message = self.messages.recv() => match message {
                    Some(message) => self.apply_message(message),
                    None => return,
                },
                () = timer => {}
            }
            self.fire_due_timers();
        }
    }

    fn fire_due_timers(&mut self) {
        let now = Instant::now();
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Balancer(token) => self.notify(Event::Timer { token }),
                Timer::RequestDeadline(id) => self.enforce_request_deadline(id),
                Timer::UploadCheck(id) => self.check_upload(id),
                Timer::OpenWatch => self.open_missing_watch(),
                Timer::ListLagCheck => self.refresh_lagging_list(),
                Timer::DiscoverySwitch => self.carry_out_discovery_switch(),
                Timer::EndpointMetrics => self.update_endpoint_metrics(),
            }
        }
    }

    /// Opens a watch, unless a switch to another discovery address has opened a watch meanwhile.
    fn open_missing_watch(&mut self) {
        if self.watch_task.is_none() {
            self.open_watch();
        }
    }

    /// Passes a message to its handler.
    pub(super) fn apply_message(&mut self, message: Message) {
        match message {
            Message::ConnectionAccepted => self.record_connection(),
            Message::RequestArrived(arrival) => self.handle_arrival(*arrival),
            Message::ClientDisconnected(id) => self.handle_client_disconnect(id),
            Message::AttemptEnded(report) => self.handle_attempt_end(report),
            Message::BodyForwardingStarted(request) => self.notify(Event::BodyForwardingStarted { request }),
            Message::BodyForwarded { request, answer_deadline } => {
                self.handle_body_forwarded(request, answer_deadline);
            }
            Message::ResponseStarted(start) => self.handle_response_start(start),
            Message::IdleConnectionClosed { endpoint, address, idle, remaining } => {
                // The endpoint id may have been reused meanwhile for an endpoint that has closed no connection.
                if self.has_address(endpoint, address) {
                    self.notify(Event::IdleConnectionClosed { endpoint, idle, remaining });
                }
            }
            Message::EndpointListReceived { watch, list, previous_message_at } => {
                self.receive_endpoint_list(watch, list, previous_message_at);
            }
            Message::DiscoveryFailed { watch, end } => {
                self.handle_watch_failure(watch, &end);
            }
            Message::RestoreSnapshot(snapshot) => self.restore_snapshot(&snapshot),
            Message::TakeSnapshot(receiver) => self.send_snapshot(receiver),
            Message::Reconfigure(reconfiguration) => self.reconfigure(*reconfiguration),
            Message::ShutdownStarted => self.apply_shutdown_deadline(),
            Message::ListLagging { current } => self.schedule_lag_check(current),
            Message::RemoteDepartures(departed) => self.drain_remote_departures(&departed),
        }
    }

    fn has_address(&self, endpoint: EndpointId, address: std::net::SocketAddr) -> bool {
        self.endpoints.get(endpoint.0 as usize).is_some_and(|known| known.address.get() == Some(address))
    }

    fn restore_snapshot(&mut self, snapshot: &Snapshot) {
        let restored = self.balancer.restore(self.handle.balancer_time(Instant::now()), snapshot);
        info!(endpoints = snapshot.endpoints.len(), restored, "snapshot of the previous process restored");
    }

    fn send_snapshot(&self, receiver: oneshot::Sender<Snapshot>) {
        // Sending fails where the hot restart that requested the snapshot was cancelled.
        let _ = receiver.send(self.balancer.snapshot());
    }

    /// Notifies the balancer of an event and executes the actions that the balancer returns. A balancer that panics is replaced.
    pub(super) fn notify(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        let now = self.handle.balancer_time(Instant::now());
        let deciding = AssertUnwindSafe(|| self.balancer.handle(now, event, &mut actions));
        if catch_unwind(deciding).is_err() {
            return self.restart_balancer();
        }
        for action in actions {
            self.execute(action);
        }
    }

    /// Replaces a balancer that has panicked by a new balancer, which knows only the endpoint list.
    ///
    /// All open requests fail at once. The balancer's state after a panic may be inconsistent, and would leave the open requests
    /// without an answer until their deadline.
    pub(super) fn restart_balancer(&mut self) {
        error!("balancer panicked, failing all open requests and restarting it");
        self.requests.fail_all(StatusCode::BAD_GATEWAY);
        self.timers.clear_decision_timers();
        self.balancer = Balancer::new(self.settings.clone(), self.seed);
        let mut actions = Vec::new();
        let now = self.handle.balancer_time(Instant::now());
        // A second panic is not caught, so the process ends: a balancer that can't take the endpoint list could serve no request.
        self.balancer.handle(
            now,
            Event::EndpointList { is_snapshot: true, endpoints: &self.listed_endpoints },
            &mut actions,
        );
        for action in actions {
            self.execute(action);
        }
    }
}
