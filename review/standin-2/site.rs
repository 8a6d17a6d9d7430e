//! The deployment that a case plays: hosts in two data centres and two racks, and gateways with the settings of the operators' example.

use crate::discovery::{Discovery, Entry};
use crate::gateway::{free_address, Config, Gateway};
use crate::host::Hosts;
use crate::Setting;
use std::net::SocketAddr;

/// The text of `family_info` in the operators' example.
const WARM_KEYS: &str = "{\"warm_keys\":true}";

/// Descriptors of a gateway.
const SOCKETS: usize = 256;

/// The entries of these hosts, all active.
pub fn entries(hosts: &Hosts) -> Vec<Entry> {
    let entry = |(at, address): (usize, &SocketAddr)| Entry {
        name: host_name(at),
        address: *address,
        zone: ["via-dante", "zona-nord"][at % 2],
        group: (at % 2) as u32,
        status: "active",
    };
    hosts.addresses.iter().enumerate().map(entry).collect()
}

pub fn host_name(host: usize) -> String {
    format!("s-{host}")
}

/// `dedup_window_s` of `enrol-pay` in the operators' example.
const ENROL_PAY_WINDOW_S: f64 = 1.2;

/// Starts this many gateways and waits until all are ready.
pub fn start_gateways(
    setting: &Setting,
    count: usize,
    discovery: &Discovery,
) -> Result<Vec<Gateway>, Box<dyn std::error::Error>> {
    start_gateways_with(setting, count, discovery, ENROL_PAY_WINDOW_S)
}

/// The same with another window for repeats of `enrol-pay`.
pub fn start_gateways_with(
    setting: &Setting,
    count: usize,
    discovery: &Discovery,
    enrol_pay_window_s: f64,
) -> Result<Vec<Gateway>, Box<dyn std::error::Error>> {
    let mut gateways = Vec::new();
    for rank in 0..count {
        let config = Config {
            rank,
            fleet_size: count,
            listen: free_address()?,
            discovery: discovery.addresses[rank],
            known: discovery.known(),
            family_info: WARM_KEYS,
            sockets: SOCKETS,
            enrol_pay_window_s,
        };
        gateways.push(Gateway::start(setting, &config)?);
    }
    if !gateways.iter().all(Gateway::wait_until_ready) {
        for gateway in &mut gateways {
            gateway.finish(&setting.record);
        }
        return Err("a gateway did not become ready".into());
    }
    Ok(gateways)
}
