//! The engine: sole owner of the balancer, the request table and the timers.
//!
//! Other tasks send the engine a [`Message`]. The engine turns messages and timers into balancer events (`driver.rs`) and executes the
//! actions that the [`Balancer`] returns (`actions.rs`). The engine makes no load-balancing decision of its own.

mod actions;
mod attempt_reporter;
mod clock;
mod discovery_watch;
mod driver;
mod endpoint_updates;
pub mod message;
mod reconfiguration;
mod request_events;
mod request_ids;
mod request_log;
mod request_table;
mod retry_storm;
mod timers;
mod upload_deadline;

use crate::discovery::endpoint_list::ListFault;
use crate::fleet::Fleet;
use crate::metrics::Metrics;
use crate::string_interner::StringInterner;
use crate::upstream::{ConnectionPool, UpstreamEndpoint};
use message::{EngineHandle, Message};
use request_log::RequestLog;
use request_table::RequestTable;
use rustc_hash::FxHashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use timers::{Timer, TimerQueue};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use weldworks_balancer::{Balancer, EndpointId, EndpointState, Settings};
use weldworks_control::retry_storm::{RetryStormControl, StormSettings};
use weldworks_control::watch_backoff::WatchBackoff;

/// Interval between two updates of the endpoint gauges, which may lag by half a second.
const ENDPOINT_METRICS_INTERVAL: Duration = Duration::from_millis(250);

/// The engine of one gateway process.
pub struct Engine {
    balancer: Balancer,
    settings: Settings,
    /// Seed of the balancer's and the storm control's random generators.
    seed: u64,
    names: StringInterner,
    pool: Rc<ConnectionPool>,
    discovery_address: SocketAddr,
    /// The address of the discovery to which the engine is about to switch.
    next_discovery_address: Option<SocketAddr>,
    /// Index of the endpoint list in force; 0 before the first list.
    list_index: u64,
    /// Faults of the previous endpoint list, so that unchanged faults are not logged again.
    list_faults: Vec<ListFault>,
    /// Number of the current discovery watch. Messages of any other watch are ignored.
    watch_id: u64,
    watch_task: Option<JoinHandle<()>>,
    /// Whether discovery has answered on the current watch.
    watch_is_answered: bool,
    /// Index of an endpoint list that other gateways have and this one lacked, until the lag is checked again.
    fleet_list_index: Option<u64>,
    watch_backoff: WatchBackoff,
    /// Connection side of each endpoint, indexed by endpoint id.
    endpoints: Vec<Rc<UpstreamEndpoint>>,
    /// Each endpoint as the balancer knows it, indexed by endpoint id.
    listed_endpoints: Vec<weldworks_balancer::Endpoint>,
    /// Last start of each endpoint according to discovery, in Unix milliseconds, indexed by endpoint id; 0 means long ago.
    started_unix_ms: Vec<u64>,
    endpoint_ids: FxHashMap<String, EndpointId>,
    free_ids: Vec<EndpointId>,
    requests: RequestTable,
    request_log: RequestLog,
    timers: TimerQueue,
    messages: mpsc::UnboundedReceiver<Message>,
    handle: EngineHandle,
    retry_storm: Option<RetryStormControl>,
    retry_storm_settings: Option<StormSettings>,
    metrics: Option<Rc<Metrics>>,
    fleet: Option<Rc<Fleet>>,
}

impl Engine {
    /// Creates an engine without endpoints, and the handle through which other tasks reach the engine.
    pub fn new(
        settings: Settings,
        seed: u64,
        names: StringInterner,
        pool: Rc<ConnectionPool>,
        discovery_address: SocketAddr,
    ) -> (Engine, EngineHandle) {
        let (handle, messages) = EngineHandle::new();
        let engine = Engine {
            balancer: Balancer::new(settings.clone(), seed),
            settings,
            seed,
            names,
            pool,
            discovery_address,
            next_discovery_address: None,
            list_index: 0,
            list_faults: Vec::new(),
            watch_id: 0,
            watch_task: None,
            watch_is_answered: false,
            fleet_list_index: None,
            watch_backoff: WatchBackoff::default(),
            endpoints: Vec::new(),
            listed_endpoints: Vec::new(),
            started_unix_ms: Vec::new(),
            endpoint_ids: FxHashMap::default(),
            free_ids: Vec::new(),
            requests: RequestTable::default(),
            request_log: RequestLog::default(),
            timers: TimerQueue::default(),
            messages,
            handle: handle.clone(),
            retry_storm: None,
            retry_storm_settings: None,
            metrics: None,
            fleet: None,
        };
        (engine, handle)
    }

    /// Makes this gateway a member of a fleet.
    pub fn join_fleet(&mut self, fleet: Rc<Fleet>) {
        self.fleet = Some(fleet);
    }

    /// Starts updating the endpoint gauges of these metrics.
    pub fn attach_metrics(&mut self, metrics: Rc<Metrics>) {
        self.metrics = Some(metrics);
        self.timers.push(Instant::now(), Timer::EndpointMetrics);
    }

    fn update_endpoint_metrics(&mut self) {
        let Some(metrics) = &self.metrics else { return };
        let present =
            self.listed_endpoints.iter().filter(|listed| listed.state != EndpointState::Removed).count();
        let avoided = self.balancer.avoided_endpoint_count(self.handle.balancer_time(Instant::now()));
        metrics.listed_endpoints.set(present as u64);
        metrics.avoided_endpoints.set(avoided as u64);
        self.timers.push(Instant::now() + ENDPOINT_METRICS_INTERVAL, Timer::EndpointMetrics);
    }
}

#[cfg(test)]
mod tests;
