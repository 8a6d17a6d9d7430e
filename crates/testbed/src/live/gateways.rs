//! The gateways under test: real processes, or any other implementation of the platform's protocol.

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

/// The address that a gateway listens on, if this line of its log states it.
pub fn listening(line: &str) -> Option<String> {
    let (_, address) = line.split_once(" listening address=")?;
    Some(address.trim().to_owned())
}

/// Timeout for the start and the stop of a gateway, longer than either takes on a slow machine.
const START_STOP_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a gateway could not be started.
#[derive(Debug, thiserror::Error)]
pub enum GatewayError {
    /// The program cannot be started.
    #[error("{program}: {source}")]
    Start {
        /// The path of the program.
        program: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The gateway ended before it listened for requests.
    #[error("the gateway ended before it listened, with this log:\n{log}")]
    Ended {
        /// The log that the gateway wrote.
        log: String,
    },
    /// The gateway did not become ready in time.
    #[error("gateway {gateway} at {address} is not ready after {START_STOP_TIMEOUT:?}")]
    NotReady {
        /// The index of the gateway.
        gateway: usize,
        /// The address at which the gateway listens.
        address: SocketAddr,
    },
}

/// The result of a start, as a future.
pub type Starting<'a> = Pin<Box<dyn Future<Output = Result<Box<dyn RunningGateway>, GatewayError>> + 'a>>;

/// The result of a stop, as a future; the error says what went wrong.
pub type Stopping<'a> = Pin<Box<dyn Future<Output = Result<(), String>> + 'a>>;

/// A way to start gateways.
pub trait StartGateway {
    /// Starts a gateway with a configuration and returns it once it listens.
    fn start<'a>(&'a self, gateway: usize, config: Value) -> Starting<'a>;
}

/// A running gateway.
pub trait RunningGateway {
    /// The address at which the gateway takes requests.
    fn address(&self) -> SocketAddr;

    /// How the gateway ended, if it has.
    fn ended(&mut self) -> Option<String>;

    /// The processor time that the gateway has used, if it is known.
    fn cpu(&self) -> Option<Duration>;

    /// Asks the gateway to stop and waits for its end.
    fn stop<'a>(&'a mut self) -> Stopping<'a>;
}

/// The built gateway program.
pub struct Program {
    /// The path of the program.
    pub path: PathBuf,
    /// The folder for the configuration files.
    pub folder: PathBuf,
    /// The operator's settings file.
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

/// A gateway process, which is killed when the value is dropped.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    async fn start(program: &Program, gateway: usize, config: &Value) -> Result<Process, GatewayError> {
        let Program { path, folder, settings } = program;
        let start_error = |source| GatewayError::Start { program: path.display().to_string(), source };
        let file = folder.join(format!("gateway-{gateway}.json"));
        std::fs::write(&file, config.to_string()).map_err(start_error)?;
        let mut command = Command::new(path);
        command.env("ROUTER_CONFIG", &file).env_remove("ROUTER_LISTEN").env_remove("ROUTER_DISCOVERY");
        command
            .env_remove("WELDWORKS_SETTINGS")
            .env_remove("OTTERVANE_SETTINGS")
            .stdin(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true);
        command.envs(settings.iter().map(|file| ("OTTERVANE_SETTINGS", file)));
        let mut child = command.spawn().map_err(start_error)?;
        let mut log = Vec::new();
        let Some(stderr) = child.stderr.take() else {
            return Err(GatewayError::Ended { log: String::new() });
        };
        let mut lines = BufReader::new(stderr).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let address = listening(&line).and_then(|address| address.parse().ok());
            if let Some(address) = address {
                // The rest of the log is read and dropped: a full pipe would block the gateway.
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
        // The first number is the time on a processor, in nanoseconds, of the one thread that does the work.
        let text = std::fs::read_to_string(format!("/proc/{}/schedstat", self.id()?)).ok()?;
        text.split_whitespace().next()?.parse().ok().map(Duration::from_nanos)
    }

    fn stop<'a>(&'a mut self) -> Stopping<'a> {
        Box::pin(async move {
            let Some(id) = self.id() else { return Err("it had ended before it was asked to".to_owned()) };
            let process = i32::try_from(id).ok().and_then(rustix::process::Pid::from_raw);
            let Some(process) = process else { return Err(format!("{id} is no process")) };
            rustix::process::kill_process(process, rustix::process::Signal::TERM)
                .map_err(|error| error.to_string())?;
            let ended = timeout(START_STOP_TIMEOUT, self.child.wait()).await;
            match ended {
                Ok(Ok(status)) if status.success() => Ok(()),
                Ok(Ok(status)) => Err(format!("it ended with {status}")),
                Ok(Err(error)) => Err(error.to_string()),
                Err(_) => Err(format!("it has not ended {START_STOP_TIMEOUT:?} after it was asked to")),
            }
        })
    }
}

/// Waits until a gateway reports that it is ready.
///
/// # Errors
/// If the gateway is not ready in time.
pub async fn ready(gateway: usize, address: SocketAddr) -> Result<(), GatewayError> {
    let polling = async {
        loop {
            if let Ok(stream) = TcpStream::connect(address).await {
                let mut connection = Connection::new(stream);
                let written = connection
                    .write(b"GET /health/ready HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n")
                    .await;
                let answer = connection.read(Kind::Answer, || Duration::ZERO, |_, _| {}).await;
                if written.is_ok() && answer.is_ok_and(|answer| answer.status() == 200) {
                    return;
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(START_STOP_TIMEOUT, polling).await.map_err(|_| GatewayError::NotReady { gateway, address })
}
