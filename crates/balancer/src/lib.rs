//! A load balancer for HTTP gateways that run as a fleet. The package makes decisions and does no I/O.
//!
//! A gateway owns the sockets and the clock. The gateway reports what happens to its [`Balancer`] as [`Event`]s and
//! carries out the [`Action`]s that the balancer returns: where each request is sent, and when a request is retried, rejected or failed.
//! Balancers share no state: each gateway decides without the others.
//!
//! The modules in the order in which a request passes through them:
//!
//! - `admission`: whether a request is admitted or shed; `load_signals`: what endpoints report of their load
//! - `selection`: which endpoint an attempt goes to; `slow_start`: how many attempts a cold endpoint gets
//! - `attempt`: sending attempts and handling their outcomes; `retry`: whether another attempt is allowed, hedges, final answers
//! - `latency_detector`, `outlier_detection`, `endpoint_state`: the state of an endpoint as learned from outcomes
//! - `traffic_stats`, `maintenance`: rates and averages of the traffic, and the periodic update of values that change with time
//! - `endpoint_list`, `discovery_polling`, `endpoint_draining`: endpoints and their drains according to discovery, and its polling
//! - `key_sequencing`: requests of one key that run one at a time
//! - `snapshot`: learned state that is passed to a successor process
//!
//! ```
//! use weldworks_balancer::{Action, Balancer, Endpoint, EndpointId, Event, Request, RequestClass, RequestId, Settings};
//! use std::time::Duration;
//!
//! let mut settings = Settings::default();
//! settings.classes.push(RequestClass::new(Duration::from_millis(200), Duration::from_secs(1)));
//! let mut balancer = Balancer::new(settings, 7);
//! let mut actions = Vec::new();
//!
//! let endpoints = [Endpoint::new(EndpointId(0), "10.0.0.1:80"), Endpoint::new(EndpointId(1), "10.0.0.2:80")];
//! balancer.handle(Duration::ZERO, Event::EndpointList { is_snapshot: true, endpoints: &endpoints }, &mut actions);
//! let request = Request::new(RequestId(1), 0, Duration::from_secs(1));
//! balancer.handle(Duration::from_millis(5), Event::Request(request), &mut actions);
//! assert!(actions.iter().any(|action| matches!(action, Action::Send { request: RequestId(1), .. })));
//! ```

mod admission;
mod api;
mod attempt;
mod balancer;
mod derived_settings;
mod discovery_polling;
mod endpoint_draining;
mod endpoint_list;
mod endpoint_state;
mod key_sequencing;
mod latency_detector;
pub mod load_report;
mod load_signals;
mod maintenance;
mod outlier_detection;
mod request;
mod retry;
mod retry_budget;
mod selection;
mod settings_document;
mod slow_start;
mod snapshot;
mod traffic_stats;

pub use api::*;
pub use balancer::Balancer;
pub use latency_detector::Cusum;
pub use settings_document::{duration_from_seconds, parse_settings};
pub use snapshot::{EndpointSnapshot, Snapshot};
