//! Stand-in endpoints on sockets: the endpoint model behind the platform's HTTP/1.1 protocol.
//!
//! Each endpoint listens at a separate address for each gateway, so that the sender of an attempt is known.
//! The model decides what happens, and this module carries it out on sockets.
//! Another protocol can be added: its connection tasks pass requests to [`LiveEndpoint::submit`] and are sent the answers to write.

use super::http::{Connection, Kind, ReadError};
use super::{endpoint_address, RunState};
use crate::checker::{AttemptEnd, ObservedAttempt};
use crate::discovery::EndpointAction;
use crate::endpoint_models::apply_to_model;
use crate::model::{
    Answer, AttemptId, ConnectionId, EndpointModel, Output, RejectionReason, Report, State, Work,
};
use crate::plan::attempt_seconds;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::sleep_until;
use weldworks_balancer::Idempotency;

/// Accept queue length of a listening endpoint.
const BACKLOG: u32 = 4096;

/// A command to the task of a connection.
#[derive(Debug)]
pub enum ConnectionCommand {
    /// Write an answer on the connection.
    Answer {
        /// The attempt that is answered.
        attempt: AttemptId,
        /// The answer to write.
        answer: Answer,
        /// The load report in the answer.
        report: Report,
    },
    /// End the connection to the gateway.
    End {
        /// Whether the connection ends with a reset, as when its process has died.
        reset: bool,
    },
}

/// The address at which an endpoint listens for one gateway.
struct Port {
    gateway: usize,
    address: SocketAddr,
    listening: RefCell<Option<JoinHandle<()>>>,
    /// While the machine is cut off: a listener with a full accept queue, so that no connection is established.
    full_listener: RefCell<Option<(TcpListener, Vec<TcpStream>)>>,
}

/// A stand-in endpoint on sockets.
pub struct LiveEndpoint {
    /// The endpoint's number.
    pub number: usize,
    run: Rc<RunState>,
    model: RefCell<EndpointModel>,
    ports: RefCell<Vec<Rc<Port>>>,
    commands: RefCell<FxHashMap<ConnectionId, mpsc::UnboundedSender<ConnectionCommand>>>,
    changed: Notify,
    ids: Rc<Cell<u64>>,
    /// Called when the endpoint crashes from too much work in its slow start.
    on_crash: Box<dyn Fn(usize, Duration)>,
}

fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

impl LiveEndpoint {
    /// Starts an endpoint that listens for each gateway; `ids` numbers the attempts and connections of all endpoints.
    ///
    /// # Errors
    /// If a listener cannot be opened.
    pub fn start(
        number: usize,
        model: EndpointModel,
        run: Rc<RunState>,
        ids: Rc<Cell<u64>>,
        on_crash: Box<dyn Fn(usize, Duration)>,
    ) -> io::Result<Rc<LiveEndpoint>> {
        let (model, ports, commands, changed) =
            (RefCell::new(model), RefCell::default(), RefCell::default(), Notify::new());
        let endpoint = Rc::new(LiveEndpoint { number, run, model, ports, commands, changed, ids, on_crash });
        for gateway in 0..endpoint.run.gateways {
            let listener = listen(SocketAddr::from((endpoint_address(gateway, number), 0)), BACKLOG)?;
            let (address, listening) = (listener.local_addr()?, RefCell::default());
            let port = Rc::new(Port { gateway, address, listening, full_listener: RefCell::default() });
            endpoint.accept(&port, listener);
            endpoint.ports.borrow_mut().push(port);
        }
        spawn_local(endpoint.clone().run());
        Ok(endpoint)
    }

    /// The address at which the endpoint listens for a gateway.
    pub fn address(&self, gateway: usize) -> Option<SocketAddr> {
        self.ports.borrow().iter().find(|port| port.gateway == gateway).map(|port| port.address)
    }

    /// Reads something from the endpoint model.
    pub fn read_model<T>(&self, read: impl FnOnce(&EndpointModel) -> T) -> T {
        read(&self.model.borrow())
    }

    fn next_id(&self) -> u64 {
        self.ids.set(self.ids.get() + 1);
        self.ids.get()
    }

    fn accept(self: &Rc<Self>, port: &Rc<Port>, listener: TcpListener) {
        let (endpoint, gateway) = (self.clone(), port.gateway);
        let accepting = spawn_local(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    spawn_local(endpoint.clone().serve(Connection::new(stream), gateway));
                }
            }
        });
        if let Some(previous) = port.listening.replace(Some(accepting)) {
            previous.abort();
        }
    }

    /// Applies an action of the script to the model and to the sockets.
    pub fn apply_action(self: &Rc<Self>, action: EndpointAction) {
        let now = self.run.clock.now();
        let before = self.model.borrow().state();
        apply_to_model(&mut self.model.borrow_mut(), now, action);
        let after = self.model.borrow().state();
        self.process_outputs();
        if action == EndpointAction::Start && after == State::Up {
            self.run.checker.borrow_mut().record_cold_start(self.number, now);
        }
        if before != after {
            self.update_ports(before, after);
        }
        self.changed.notify_one();
    }

    /// Opens or closes the listeners as the endpoint's new state requires.
    fn update_ports(self: &Rc<Self>, before: State, after: State) {
        for port in self.ports.borrow().iter() {
            if let Some(accepting) = port.listening.take() {
                accepting.abort();
            }
            port.full_listener.take();
            let captured = (self.clone(), port.clone());
            spawn_local(async move {
                let (endpoint, port) = captured;
                // The aborted task drops its listener the next time the runtime polls the task.
                tokio::task::yield_now().await;
                if let Err(error) = endpoint.reopen(&port, after) {
                    eprintln!(
                        "endpoint {}: cannot listen at {} again: {error}",
                        endpoint.number, port.address
                    );
                }
            });
        }
        if before == State::CutOff {
            self.commands.borrow().values().for_each(|sender| {
                let _ = sender.send(ConnectionCommand::End { reset: true });
            });
        }
    }

    fn reopen(self: &Rc<Self>, port: &Rc<Port>, state: State) -> io::Result<()> {
        match state {
            State::Up | State::Draining => self.accept(port, listen(port.address, BACKLOG)?),
            State::CutOff => {
                // The kernel accepts connections until the queue is full; further connection attempts are never answered.
                let listener = listen(port.address, 0)?;
                let mut queued = Vec::new();
                for _ in 0..2 {
                    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
                    socket.set_nonblocking(true)?;
                    let _ = socket.connect(&port.address.into()); // pending; established only if the queue has space
                    queued.push(TcpStream::from_std(socket.into())?);
                }
                port.full_listener.replace(Some((listener, queued)));
            }
            State::Down | State::Crashed => {}
        }
        Ok(())
    }

    /// Advances the model as time passes, until the run ends.
    async fn run(self: Rc<Self>) {
        loop {
            let next = self.model.borrow().next();
            let due = async {
                match next {
                    Some(at) => sleep_until(self.run.clock.instant(at)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = due => {}
                () = self.changed.notified() => {}
            }
            self.model.borrow_mut().advance(self.run.clock.now());
            self.process_outputs();
        }
    }

    /// Carries out the outputs of the model.
    fn process_outputs(&self) {
        let now = self.run.clock.now();
        let outputs: Vec<Output> = self.model.borrow_mut().outputs().collect();
        for output in outputs {
            match output {
                Output::Began { attempt } => self.run.checker.borrow_mut().record_start(attempt, now),
                Output::Answered { attempt, connection, answer, report } => {
                    if let Answer::Served { dropped: true } = answer {
                        self.run.count(|counts| counts.repeats_dropped += 1);
                    }
                    self.send_command(connection, ConnectionCommand::Answer { attempt, answer, report });
                }
                Output::Ended { connection, attempt } => {
                    if let Some(attempt) = attempt {
                        self.run.checker.borrow_mut().record_end(attempt, now, AttemptEnd::Broken);
                    }
                    // A process that dies resets its connections; an idle connection is closed normally.
                    let process_ended = !matches!(self.model.borrow().state(), State::Up | State::Draining);
                    self.send_command(
                        connection,
                        ConnectionCommand::End { reset: process_ended || attempt.is_some() },
                    );
                }
                Output::Crashed => {
                    self.run.count(|counts| counts.fallen += 1);
                    self.run.checker.borrow_mut().record_fall(self.number, now);
                    (self.on_crash)(self.number, now);
                    for port in self.ports.borrow().iter() {
                        if let Some(accepting) = port.listening.take() {
                            accepting.abort();
                        }
                    }
                }
            }
        }
    }

    fn send_command(&self, connection: ConnectionId, command: ConnectionCommand) {
        if let Some(sender) = self.commands.borrow().get(&connection) {
            let _ = sender.send(command); // fails if the task of the connection has just ended
        }
    }

    /// Passes a completely received request to the model.
    pub fn submit(&self, connection: ConnectionId, attempt: AttemptId, work: Work) {
        self.model.borrow_mut().request(self.run.clock.now(), connection, attempt, work);
        self.process_outputs();
        self.changed.notify_one();
    }

    /// Serves one connection until it ends.
    async fn serve(self: Rc<Self>, mut stream_connection: Connection, gateway: usize) {
        let connection = self.next_id();
        let now = || self.run.clock.now();
        let (sender, mut commands_received) = mpsc::unbounded_channel();
        let up = self.model.borrow_mut().connect(now(), connection);
        self.process_outputs();
        if !up {
            return stream_connection.reset_on_drop();
        }
        self.commands.borrow_mut().insert(connection, sender);
        self.changed.notify_one();
        self.run.count(|counts| counts.connections += 1);
        let attempt_in_flight =
            self.serve_requests(&mut stream_connection, &mut commands_received, connection, gateway).await;
        self.commands.borrow_mut().remove(&connection);
        if let Some(attempt) = attempt_in_flight {
            // The gateway closed the connection before the answer. Recorded even if the endpoint's machine is cut off and could not observe the close.
            self.run.checker.borrow_mut().record_end(attempt, now(), AttemptEnd::Left);
        }
        self.model.borrow_mut().disconnect(now(), connection);
        self.process_outputs();
        self.changed.notify_one();
    }

    /// Serves requests until the gateway or the model ends the connection; returns the attempt that the gateway abandoned by closing.
    async fn serve_requests(
        &self,
        stream_connection: &mut Connection,
        commands_received: &mut mpsc::UnboundedReceiver<ConnectionCommand>,
        connection: ConnectionId,
        gateway: usize,
    ) -> Option<AttemptId> {
        let now = || self.run.clock.now();
        loop {
            let attempt = self.next_id();
            let reading = stream_connection.read(Kind::Request, now, |head, first| {
                // A request without a number belongs to no client: it is answered with an error and not recorded.
                if let Some(number) = parse_request_number(head.header("x-request-id")) {
                    self.record_attempt(number, attempt, gateway, first);
                }
            });
            let request = tokio::select! {
                biased;
                command = commands_received.recv() => {
                    if let Some(ConnectionCommand::End { reset: true }) = command {
                        stream_connection.reset_on_drop();
                    }
                    return None;
                }
                request = reading => match request {
                    Ok(request) => request,
                    Err(ReadError::Ended { partly }) => {
                        if partly {
                            self.run.checker.borrow_mut().record_end(attempt, now(), AttemptEnd::Unsent);
                        }
                        return None;
                    }
                    Err(ReadError::Malformed(_)) => {
                        let _ = stream_connection.write(b"HTTP/1.1 400 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").await;
                        return None;
                    }
                },
            };
            if self.model.borrow().state() == State::CutOff {
                // The machine is cut off: the request counts as not sent, and the task waits until the connection is reset.
                self.run.checker.borrow_mut().record_end(attempt, now(), AttemptEnd::Unsent);
                while !matches!(commands_received.recv().await, Some(ConnectionCommand::End { .. }) | None) {}
                stream_connection.reset_on_drop();
                return None;
            }
            self.run.checker.borrow_mut().record_whole_attempt(attempt, now());
            let number = parse_request_number(request.header("x-request-id"));
            let work = number
                .and_then(|number| self.work(number, request.header("x-timeout")).map(|work| (number, work)));
            let Some((number, work)) = work else {
                self.run.checker.borrow_mut().record_end(attempt, now(), AttemptEnd::Error);
                let status = if number.is_some() { 400 } else { 404 };
                let text = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
                if stream_connection.write(text.as_bytes()).await.is_err() {
                    return None;
                }
                continue;
            };
            self.run.count(|counts| counts.attempts += 1);
            self.submit(connection, attempt, work);
            let command = loop {
                tokio::select! {
                    biased;
                    command = commands_received.recv() => break command,
                    is_open = stream_connection.read_more() => if !is_open {
                        return Some(attempt);
                    }
                }
            };
            match command {
                Some(ConnectionCommand::Answer { attempt, answer, report }) => {
                    let ended = match answer {
                        Answer::Served { .. } => AttemptEnd::Served,
                        Answer::Error => AttemptEnd::Error,
                        Answer::Rejected(_) => AttemptEnd::TurnedAway,
                    };
                    // Recorded before the answer is written, because the gateway may receive it at any time from then on.
                    self.run.checker.borrow_mut().record_end(attempt, now(), ended);
                    let text = answer_text(answer, report, number, attempt);
                    if stream_connection.write(text.as_bytes()).await.is_err() {
                        return None;
                    }
                }
                Some(ConnectionCommand::End { reset }) => {
                    if reset {
                        stream_connection.reset_on_drop();
                    }
                    return None;
                }
                None => return None,
            }
        }
    }

    fn record_attempt(&self, number: u64, attempt: AttemptId, gateway: usize, first_byte_at: Duration) {
        let work_s = self.work(number, None).map_or(0.0, |work| work.seconds);
        let (endpoint, last_byte_at, started_at, end) = (self.number, None, None, None);
        let seen = ObservedAttempt {
            attempt,
            endpoint,
            gateway,
            first_byte_at,
            last_byte_at,
            started_at,
            end,
            work_s,
        };
        self.run.checker.borrow_mut().record_attempt(number, seen);
    }

    /// The work of a request at this endpoint; `None` if no client sent a request with this number.
    fn work(&self, number: u64, timeout: Option<&str>) -> Option<Work> {
        let plan_index = *self.run.plan_indices.borrow().get(&number)?;
        let planned = self.run.plan.get(plan_index)?;
        let class = self.run.script.classes.get(planned.class)?;
        let keyed = match class.idempotency {
            Idempotency::IdempotencyKey { scope: key_scope, window } => {
                Some((planned.key, key_scope, window))
            }
            _ => None,
        };
        let timeout = timeout.and_then(parse_timeout).unwrap_or(class.deadline);
        let until = self.run.clock.now() + timeout;
        let seconds = attempt_seconds(self.run.draws, class, planned, self.number as u64);
        Some(Work { request: number, seconds, subject: planned.subject, keyed, until })
    }
}

/// Parses a request's number from its header.
pub fn parse_request_number(header: Option<&str>) -> Option<u64> {
    u64::from_str_radix(header?, 16).ok()
}

/// Parses a timeout of the protocol: a number followed by `m` for milliseconds or `u` for microseconds.
fn parse_timeout(text: &str) -> Option<Duration> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let number: f64 = number.parse().ok()?;
    let seconds = match unit {
        "m" => number * 1e-3,
        "u" => number * 1e-6,
        _ => return None,
    };
    Duration::try_from_secs_f64(seconds).ok()
}

fn answer_text(answer: Answer, report: Report, number: u64, attempt: AttemptId) -> String {
    let load = format!("X-Server-Load: TEXT qps={:.1}, inflight={}\r\n", report.qps, report.inflight);
    match answer {
        Answer::Served { .. } => {
            let body = format!("{{\"request\":\"{number:016x}\",\"attempt\":{attempt}}}");
            let length = body.len();
            format!("HTTP/1.1 200 OK\r\n{load}Content-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}")
        }
        Answer::Error => format!("HTTP/1.1 500 Error\r\n{load}Content-Length: 0\r\n\r\n"),
        Answer::Rejected(reason) => {
            let status = if reason == RejectionReason::Expired { 504 } else { 503 };
            format!("HTTP/1.1 {status} Not Now\r\n{load}X-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
        }
    }
}
