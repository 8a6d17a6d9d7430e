//! When the engine opens, replaces and ends its watch on discovery.
//!
//! Where discovery pushes endpoint lists, the engine reopens a lost watch after the delay that [`WatchBackoff`] gives.
//! Where discovery is polled, each poll has a cost, and the balancer decides when the next poll is made.
//!
//! [`WatchBackoff`]: weldworks_control::watch_backoff::WatchBackoff

use super::message::WatchEnd;
use super::timers::Timer;
use super::Engine;
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::watch::{ListDelivery, Watch};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::Instant;
use tracing::{debug, info, warn};
use weldworks_balancer::{Event, PollFailure};
use weldworks_control::watch_backoff::{WatchLoss, MAX_RETRY_DELAY, STABLE_WATCH_AGE};

/// Time that a list gets to arrive which other gateways have already. Without it, a gateway that was delayed would drop a watch
/// whose connection holds the list, and wait for the next poll.
const LIST_ARRIVAL_GRACE: Duration = Duration::from_millis(200);

/// Time for which lists that the previous discovery has already sent are still read. Without it, a list that arrives together with the
/// reload signal would be dropped, and with it a drain, until the new discovery answers seconds later.
const PREVIOUS_DISCOVERY_READ_TIME: Duration = Duration::from_millis(10);

impl Engine {
    /// Whether discovery pushes lists to a watch or is polled.
    pub(super) fn list_delivery(&self) -> ListDelivery {
        match self.settings.discovery_poll_interval {
            None => ListDelivery::Push,
            Some(_) => ListDelivery::Poll,
        }
    }

    /// Opens a watch for endpoint lists newer than the list in force, and ends the previous watch.
    pub(super) fn open_watch(&mut self) {
        debug!(list_index = self.list_index, "watch opened");
        self.watch_id += 1;
        self.watch_is_answered = false;
        self.watch_backoff.record_open(self.handle.balancer_time(Instant::now()));
        let watch = Watch {
            address: self.discovery_address,
            since_index: self.list_index,
            id: self.watch_id,
            delivery: self.list_delivery(),
        };
        let task = spawn_local(watch.run(self.handle.clone()));
        if let Some(previous) = self.watch_task.replace(task) {
            previous.abort();
        }
    }

    /// Ends the current watch; false where there is no watch.
    pub(super) fn end_watch(&mut self) -> bool {
        let Some(task) = self.watch_task.take() else { return false };
        task.abort();
        // No watch has the new value of `watch_id`, so that messages of the ended watch are ignored.
        self.watch_id += 1;
        true
    }

    /// Applies an endpoint list that the current watch has received.
    ///
    /// Messages of an ended watch may still be queued, and are ignored. Such messages come from an earlier connection.
    /// That connection may have gone to another discovery, whose list indices mean nothing here.
    pub(super) fn receive_endpoint_list(
        &mut self,
        watch_id: u64,
        list: EndpointList,
        previous_message_at: Option<Instant>,
    ) {
        if watch_id != self.watch_id {
            return;
        }
        self.watch_is_answered = true;
        self.handle.set_discovery_answered();
        let now = self.handle.balancer_time(Instant::now());
        if let Some(silent_for) = self.watch_backoff.record_message(now) {
            info!(address = %self.discovery_address, ?silent_for, "endpoint list watch restored");
        }
        self.apply_received_list(previous_message_at, list);
    }

    /// Handles the end of the current watch. The end of an earlier watch is ignored, as in [`Engine::receive_endpoint_list`].
    pub(super) fn handle_watch_failure(&mut self, watch_id: u64, end: &WatchEnd) {
        if watch_id != self.watch_id {
            return;
        }
        let reason = end.reason.as_str();
        self.end_watch();
        if self.list_delivery() == ListDelivery::Poll {
            warn!(
                address = %self.discovery_address,
                list_index = self.list_index,
                reason,
                cause = ?end.cause,
                last_message_ago = ?self.handle.time_since_discovery_message(),
                "discovery poll failed, polling again within seconds"
            );
            return self.notify(Event::DiscoveryFailed { silent_for: end.silent_for, cause: end.cause });
        }
        let now = Instant::now();
        let loss = self.watch_backoff.record_loss(self.handle.balancer_time(now));
        if loss.should_report {
            self.log_watch_loss(reason, loss);
        }
        self.timers.push(now + loss.retry_delay, Timer::OpenWatch);
    }

    fn log_watch_loss(&self, reason: &str, loss: WatchLoss) {
        warn!(
            address = %self.discovery_address,
            list_index = self.list_index,
            reason,
            consecutive_failures = loss.consecutive_failures,
            stable_watch_age = ?STABLE_WATCH_AGE,
            max_retry_delay = ?MAX_RETRY_DELAY,
            hint = "check `discovery` in the file that ROUTER_CONFIG names (or ROUTER_DISCOVERY, read at the start only), then send SIGHUP",
            "endpoint list watch lost, retrying with the current list"
        );
    }

    /// Checks after [`LIST_ARRIVAL_GRACE`] whether this gateway still lacks an endpoint list that other gateways have.
    pub(super) fn schedule_lag_check(&mut self, current_index: u64) {
        if current_index <= self.list_index {
            return;
        }
        let is_scheduled = self.fleet_list_index.replace(current_index).is_some();
        if !is_scheduled {
            self.timers.push(Instant::now() + LIST_ARRIVAL_GRACE, Timer::ListLagCheck);
        }
    }

    /// Polls discovery again, on a new connection, where other gateways have a newer endpoint list.
    /// The discovery server behind the current watch may lag, and until that watch ends the gateway would send to drained endpoints.
    ///
    /// Where no watch is open, the next one is scheduled. A watch that has not been answered yet may bring the newer list, and has a
    /// timeout of its own.
    pub(super) fn refresh_lagging_list(&mut self) {
        let Some(current_index) = self.fleet_list_index.take() else { return };
        if current_index <= self.list_index || self.watch_task.is_none() || !self.watch_is_answered {
            return;
        }
        info!(
            list_index = self.list_index,
            newest_index = current_index,
            "other gateways have a newer endpoint list, polling discovery again"
        );
        self.end_watch();
        match self.list_delivery() {
            ListDelivery::Push => self.open_watch(),
            ListDelivery::Poll => self.notify(Event::DiscoveryFailed {
                silent_for: Duration::ZERO,
                cause: PollFailure::Unreachable,
            }),
        }
    }

    /// Switches to another discovery address after [`PREVIOUS_DISCOVERY_READ_TIME`]. A later call replaces the address.
    pub(super) fn schedule_discovery_switch(&mut self, address: SocketAddr) {
        let is_scheduled = self.next_discovery_address.replace(address).is_some();
        if !is_scheduled {
            self.timers.push(Instant::now() + PREVIOUS_DISCOVERY_READ_TIME, Timer::DiscoverySwitch);
        }
    }

    /// Carries out the switch that [`Engine::schedule_discovery_switch`] has scheduled.
    pub(super) fn carry_out_discovery_switch(&mut self) {
        if let Some(address) = self.next_discovery_address.take() {
            self.switch_discovery(address);
        }
    }

    /// Switches to another discovery address and starts at list index 0 there, since list indices of two discoveries can't be compared.
    /// An unchanged address changes nothing, even where discovery is now polled instead of watched or the other way round.
    /// The time of the last discovery message is kept, so the new discovery's first list is applied with the old discovery's time.
    pub(super) fn switch_discovery(&mut self, address: SocketAddr) {
        if address == self.discovery_address {
            return;
        }
        self.discovery_address = address;
        self.list_index = 0;
        self.watch_backoff.reset();
        self.end_watch();
        match self.list_delivery() {
            ListDelivery::Push => self.open_watch(),
            ListDelivery::Poll => self.notify(Event::DiscoveryChanged),
        }
    }
}
