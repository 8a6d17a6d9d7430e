//! Starts gateways with the `run` command of the deploy file, and ends them.

use crate::net::{connect, Reader};
use crate::record::Record;
use crate::Setting;
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// A running gateway, killed when this is dropped.
pub struct Gateway {
    pub name: String,
    pub address: SocketAddr,
    config: PathBuf,
    child: Child,
}

/// A free loopback address.
pub fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// The value of `run` in the deploy file.
fn run_command(root: &Path) -> std::io::Result<String> {
    let text = fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = ")).unwrap_or_default();
    Ok(line.trim().trim_matches('"').to_owned())
}

impl Gateway {
    /// Starts a gateway with this configuration.
    pub fn start(setting: &Setting, config: &Config) -> std::io::Result<Gateway> {
        let name = config.name();
        let home = setting.temporary.join(&name);
        fs::create_dir_all(home.join("tmp"))?;
        let file = home.join("config.json");
        fs::write(&file, config.json())?;
        let log = File::create(home.join("log"))?;
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command(&setting.root)?)
            .current_dir(&setting.root)
            .env("ROUTER_NAME", &name)
            .env("ROUTER_LISTEN", config.listen.to_string())
            .env("ROUTER_DISCOVERY", config.discovery.to_string())
            .env("ROUTER_CONFIG", &file)
            .env("TMPDIR", home.join("tmp"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        // Read by the script, which ends what is left if the case is stopped from outside.
        let mut pids = OpenOptions::new().create(true).append(true).open(setting.temporary.join("pids"))?;
        writeln!(pids, "{}", child.id())?;
        setting.record.line(&format!("{name} started, process {}, listens on {}", child.id(), config.listen));
        Ok(Gateway { name, address: config.listen, config: file, child })
    }

    /// Waits until `GET /health/ready` answers 200; false after 30 s.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(30);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    fn is_ready(&self) -> bool {
        let Ok(mut stream) = connect(self.address, Duration::from_secs(1)) else { return false };
        if stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n").is_err() {
            return false;
        }
        let answer = Reader::new(stream).message();
        matches!(answer, Ok(Some(answer)) if answer.status() == 200)
    }

    /// Kills the process outright and copies the last lines of its log into the record.
    pub fn finish(&mut self, record: &Record) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let log = self.config.with_file_name("log");
        let text = fs::read_to_string(log).unwrap_or_default();
        for line in text.lines().rev().take(60).collect::<Vec<_>>().into_iter().rev() {
            record.line(&format!("log of {}: {line}", self.name));
        }
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What differs between the configurations of the cases.
pub struct Config<'a> {
    pub rank: usize,
    pub fleet_size: usize,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub known: String,
    /// The text of the object `family_info`.
    pub family_info: &'a str,
    /// `limits.sockets`.
    pub sockets: usize,
    /// `dedup_window_s` of the class `enrol-pay`, whose repeats all hosts drop for so long.
    pub enrol_pay_window_s: f64,
}

impl Config<'_> {
    fn name(&self) -> String {
        format!("n{}", self.rank)
    }

    /// The configuration as JSON, with the settings of the example on the operators' page.
    pub fn json(&self) -> String {
        CONFIG
            .replace("@NAME", &self.name())
            .replace("@RANK", &self.rank.to_string())
            .replace("@FLEET_SIZE", &self.fleet_size.to_string())
            .replace("@ENROL_PAY_WINDOW_S", &self.enrol_pay_window_s.to_string())
            .replace("@SOCKETS", &self.sockets.to_string())
            .replace("@LISTEN", &self.listen.to_string())
            .replace("@DISCOVERY", &self.discovery.to_string())
            .replace("@KNOWN", &self.known)
            .replace("@FAMILY_INFO", self.family_info)
    }
}

const CONFIG: &str = r#"{"name":"@NAME","listen":"@LISTEN","discovery":"@DISCOVERY","seed":"8c1f30d27a5be96@RANK",
"limits":{"cores":1.0,"memory_mb":192,"sockets":@SOCKETS},
"known":@KNOWN,
"settings":{"accounts":[{"name":"civica-centro","quota_per_s":99.0,"share":0.3},{"name":"scuola-arcella","quota_per_s":53.0,"share":0.16}],
"azs":["via-dante","zona-nord"],
"classes":[
{"deadline_s":1.2,"dedup_window_s":5.0,"effect":"free","group":"all","importance":2.0,"late_worth":0.0,"name":"timetable","promise_s":0.3,"streaming":false},
{"deadline_s":0.8,"dedup_window_s":5.0,"effect":"free","group":"all","importance":3.0,"late_worth":0.0,"name":"room-status","promise_s":0.2,"streaming":false},
{"deadline_s":1.2,"dedup_window_s":@ENROL_PAY_WINDOW_S,"effect":"guarded","group":"all","importance":8.0,"late_worth":0.0,"name":"enrol-pay","promise_s":0.3,"streaming":false},
{"deadline_s":1.2,"dedup_window_s":1.2,"effect":"guarded","group":"cell","importance":3.0,"late_worth":0.0,"name":"book-room","promise_s":0.6,"streaming":false}],
"client_habits":{"marks_retry":true},
"costs":{"connection":0.0,"cross_zone":0.02,"discovery":0.0,"handshake":0.0,"late_fail":0.03,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0,"waste":0.2},
"discovery":"ask","family":"proxy","family_info":@FAMILY_INFO,
"flavors":["fast-2c","std-2c","old-2c"],"fleet_size":@FLEET_SIZE,"locality":0,"over_share_worth":0.2,
"policy_limits":{"cpu_us_per_request":0.0,"cpu_us_per_s":233174,"dial_timeout_s":0.1,"keepalive_s":10.0,"max_open":582935,"max_retry_after_s":1.2,"may_cancel":true,"peers":false,"probes":false,"retry_after":false,"second_copies":false,"streams_per_conn":1,"try_limit":6},
"quantum_s":0.005,"rank":@RANK,
"safety":{"ask_within_s":10.0,"cold_from":0.13,"cold_s":23.0,"fall_s":2.0,"grace_to_answer_s":0.02,"overload_factor":2.5,"stop_sending_within_s":2.0},
"score_parts":{"whole":0.6,"worst_class":0.2,"worst_tenant":0.1,"worst_window":0.1},
"stats":{"fields":["throughput","outstanding"],"how":"inline"},"tier":0,"tiers":["lezioni-web"],"weight_source":"off","worth_by":"request"}}
"#;
