//! The HTTP/1.1 server for clients: accepts and closes connections, limits their number, and answers the requests on them.
//!
//! `accept` takes connections from the listener, `client_table` decides which connections are closed early, `connection` serves a
//! single connection and `request` a single request. `request_head` validates request heads, `response` builds responses.

mod accept;
mod client_connection;
mod client_table;
mod connection;
mod event_loop_delay;
mod request;
mod request_head;
mod request_settings;
mod response;

pub use request_settings::RequestSettings;

use crate::engine::message::EngineHandle;
use crate::lifecycle::service_state::ServiceState;
use crate::transport::descriptor_budget::DescriptorBudget;
use accept::AcceptQueue;
use client_table::ClientTable;
use event_loop_delay::EventLoopDelay;
use std::cell::RefCell;
use std::rc::Rc;

/// The HTTP server for clients.
pub struct Server {
    engine: EngineHandle,
    settings: RefCell<Rc<RequestSettings>>,
    clients: ClientTable,
    accept_queue: AcceptQueue,
    event_loop_delay: EventLoopDelay,
    service: Rc<ServiceState>,
}

impl Server {
    /// Creates a server that hands the requests of clients to the engine.
    pub fn new(
        engine: EngineHandle,
        settings: RequestSettings,
        budget: &DescriptorBudget,
        service: Rc<ServiceState>,
    ) -> Server {
        Server {
            engine,
            settings: RefCell::new(Rc::new(settings)),
            clients: ClientTable::new(budget),
            accept_queue: AcceptQueue::default(),
            event_loop_delay: EventLoopDelay::new(),
            service,
        }
    }

    /// Replaces the settings for requests that arrive from now on; earlier requests keep the settings that they arrived under.
    pub fn reconfigure(&self, settings: RequestSettings) {
        self.settings.replace(Rc::new(settings));
    }

    /// Closes idle connections and connections whose request head is overdue, until this future is dropped.
    pub async fn run_expiry_loop(&self) {
        self.clients.run_expiry_loop(&self.service).await;
    }

    /// Measures the delay of the event loop, until this future is dropped.
    pub async fn measure_event_loop_delay(&self) {
        self.event_loop_delay.measure().await;
    }

    /// Waits until the last client connection has ended. Idle connections are closed by [`Self::run_expiry_loop`].
    pub async fn finish_connections(&self) {
        self.clients.wait_until_empty().await;
    }
}

#[cfg(test)]
mod tests;
