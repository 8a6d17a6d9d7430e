//! The gateways under test: real processes, or anything else that keeps the platform's protocol.

use super::http::{Connection, Kind};
use serde_json::Value;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::Pin;
use std::process::{ExitStatus, Stdio};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// The address that a gateway's log says it listens on, where the line does.
pub fn listening(line: &str) -> Option<String> {
    let (_, address) = line.split_once(" listening address=")?;
    Some(address.trim().to_owned())
}

/// No start takes so long, on whatever machine.
const LONG: Duration = Duration::from_secs(30);

/// Why a gateway could not be had.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// It can't be started.
    #[error("{program}: {source}")]
    Start {
        /// The program.
        program: String,
        /// What the system says.
        source: io::Error,
    },
    /// It ended before it listened.
    #[error("the gateway ended at its start, with this log:\n{log}")]
    Ended {
        /// What it wrote.
        log: String,
    },
    /// It does not become ready.
    #[error("gateway {gateway} at {address} is not ready after {LONG:?}")]
    NotReady {
        /// Which.
        gateway: usize,
        /// Where.
        address: SocketAddr,
    },
}

/// What a start comes to.
pub type Starting<'a> = Pin<Box<dyn Future<Output = Result<Box<dyn RunningGateway>, GatewayError>> + 'a>>;

/// What a stop comes to: what went wrong, where anything did.
pub type Stopping<'a> = Pin<Box<dyn Future<Output = Result<(), String>> + 'a>>;

/// Starts gateways.
pub trait StartGateway {
    /// Starts one on a configuration; gives it once it listens.
    fn start<'a>(&'a self, gateway: usize, config: Value) -> Starting<'a>;
}

/// A gateway that runs.
pub trait RunningGateway {
    /// Where it takes requests.
    fn address(&self) -> SocketAddr;

    /// How it ended, if it has.
    fn ended(&mut self) -> Option<String>;

    /// The time that its processors have spent on it, where that is known.
    fn cpu(&self) -> Option<Duration>;

    /// Asks it to stop, and waits for that; gives what went wrong.
    fn stop<'a>(&'a mut self) -> Stopping<'a>;
}

/// The built program.
pub struct Program {
    /// Its path.
    pub path: PathBuf,
    /// Where its configurations go.
    pub folder: PathBuf,
    /// The operator's file.
    pub settings: Option<PathBuf>,
}

impl StartGateway for Program {
    fn start<'a>(&'a self, gateway: usize, config: Value) -> Starting<'a> {
        Box::pin(async move {
            let process = Process::start(self, gateway, &config).await?;
            Ok(Box::new(process) as Box<dyn RunningGateway>)
        })
    }
}

/// A gateway's process; killed when it is dropped.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    async fn start(program: &Program, gateway: usize, config: &Value) -> Result<Process, GatewayError> {
        let Program { path, folder, settings } = program;
        let failed = |source| GatewayError::Start { program: path.display().to_string(), source };
        let file = folder.join(format!("gateway-{gateway}.json"));
        std::fs::write(&file, config.to_string()).map_err(failed)?;
        let mut command = Command::new(path);
        command.env("ROUTER_CONFIG", &file).env_remove("ROUTER_LISTEN").env_remove("ROUTER_DISCOVERY");
        command
            .env_remove("WELDWORKS_SETTINGS")
            .env_remove("OTTERVANE_SETTINGS")
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        command.envs(settings.iter().map(|file| ("OTTERVANE_SETTINGS", file)));
        let mut child = command.spawn().map_err(failed)?;
        let mut log = Vec::new();
        let Some(errors) = child.stderr.take() else {
            return Err(GatewayError::Ended { log: String::new() });
        };
        let mut lines = BufReader::new(errors).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let address = listening(&line).and_then(|a| a.parse().ok());
            if let Some(address) = address {
                // Whatever it writes from here on is read, or its log would fill the pipe and stop it.
                spawn_local(async move { while let Ok(Some(_)) = lines.next_line().await {} });
                return Ok(Process { child, address });
            }
            log.push(line);
        }
        Err(GatewayError::Ended { log: log.join("\n") })
    }

    fn id(&self) -> Option<u32> {
        self.child.id()
    }
}

impl RunningGateway for Process {
    fn address(&self) -> SocketAddr {
        self.address
    }

    fn ended(&mut self) -> Option<String> {
        let ended: Option<ExitStatus> = self.child.try_wait().ok().flatten();
        ended.map(|status| status.to_string())
    }

    fn cpu(&self) -> Option<Duration> {
        // The first figure is the time on a processor, in nanoseconds, of the one thread that does the work.
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.id()?)).ok()?;
        text.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
    }

    fn stop<'a>(&'a mut self) -> Stopping<'a> {
        Box::pin(async move {
            let Some(id) = self.id() else { return Err("it had ended before it was asked to".to_owned()) };
            let process = i32::try_from(id).ok().and_then(rustix::process::Pid::from_raw);
            let Some(process) = process else { return Err(format!("{id} is no process")) };
            rustix::process::kill_process(process, rustix::process::Signal::TERM)
                .map_err(|e| e.to_string())?;
            let ended = timeout(LONG, self.child.wait()).await;
            match ended {
                Ok(Ok(status)) if status.success() => Ok(()),
                Ok(Ok(status)) => Err(format!("it ended with {status}")),
                Ok(Err(error)) => Err(error.to_string()),
                Err(_) => Err(format!("it has not ended {LONG:?} after it was asked to")),
            }
        })
    }
}

/// Waits until a gateway says that it is ready.
///
/// # Errors
/// Where it never does.
pub async fn ready(gateway: usize, address: SocketAddr) -> Result<(), GatewayError> {
    let asking = async {
        loop {
            if let Ok(stream) = TcpStream::connect(address).await {
                let mut wire = Connection::new(stream);
                let asked =
                    wire.write(b"GET /health/ready HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n").await;
                let answer = wire.read(Kind::Answer, || Duration::ZERO, |_, _| {}).await;
                if asked.is_ok() && answer.is_ok_and(|a| a.status() == 200) {
                    return;
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(LONG, asking).await.map_err(|_| GatewayError::NotReady { gateway, address })
}
