//! Booking nodes on sockets: the model behind HTTP/1.1 as the platform's protocol has it.
//!
//! Each node listens once for each gateway, at an address of their own, so that an attempt's sender is known. The
//! model says what happens; here it is only done. Room for another protocol is left: whoever reads
//! requests from a connection gives them to [`LiveNode::submit`] and is sent what to answer.

use super::http::{Connection, Kind, ReadError};
use super::{node_address, Day};
use crate::checker::{AttemptEnd, ObservedAttempt};
use crate::fleet::carry_out;
use crate::model::{Answer, AttemptId, ConnectionId, Node, Output, Refusal, Report, State, Work};
use crate::plan::attempt_seconds;
use crate::register::Deed;
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

const BACKLOG: u32 = 4096;

/// What a connection's task is told.
#[derive(Debug)]
pub enum Say {
    /// Write this answer.
    Answer {
        /// To which attempt.
        attempt: AttemptId,
        /// What it is.
        answer: Answer,
        /// The load report beside it.
        report: Report,
    },
    /// End the connection, with a reset where its process has died.
    End {
        /// With a reset.
        reset: bool,
    },
}

/// A place where a node listens for one gateway.
struct Port {
    gateway: usize,
    address: SocketAddr,
    listening: RefCell<Option<JoinHandle<()>>>,
    /// While the machine is cut off: a listener whose queue is full, so that nothing comes up.
    stuffing: RefCell<Option<(TcpListener, Vec<TcpStream>)>>,
}

/// A node on sockets.
pub struct LiveNode {
    /// Its number.
    pub number: usize,
    day: Rc<Day>,
    model: RefCell<Node>,
    ports: RefCell<Vec<Rc<Port>>>,
    says: RefCell<FxHashMap<ConnectionId, mpsc::UnboundedSender<Say>>>,
    changed: Notify,
    ids: Rc<Cell<u64>>,
    /// Called when it falls over.
    fell: Box<dyn Fn(usize, Duration)>,
}

fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

impl LiveNode {
    /// A node that listens for each gateway; `ids` numbers the attempts and connections of all nodes.
    ///
    /// # Errors
    /// Where a port can't be had.
    pub fn start(
        number: usize,
        model: Node,
        day: Rc<Day>,
        ids: Rc<Cell<u64>>,
        fell: Box<dyn Fn(usize, Duration)>,
    ) -> io::Result<Rc<LiveNode>> {
        let (model, ports, says, changed) =
            (RefCell::new(model), RefCell::default(), RefCell::default(), Notify::new());
        let node = Rc::new(LiveNode { number, day, model, ports, says, changed, ids, fell });
        for gateway in 0..node.day.gateways {
            let listener = listen(SocketAddr::from((node_address(gateway, number), 0)), BACKLOG)?;
            let (address, listening) = (listener.local_addr()?, RefCell::default());
            let port = Rc::new(Port { gateway, address, listening, stuffing: RefCell::default() });
            node.accept(&port, listener);
            node.ports.borrow_mut().push(port);
        }
        spawn_local(node.clone().run());
        Ok(node)
    }

    /// Where it listens for a gateway.
    pub fn address(&self, gateway: usize) -> Option<SocketAddr> {
        self.ports.borrow().iter().find(|p| p.gateway == gateway).map(|p| p.address)
    }

    /// Looks at the model.
    pub fn see<T>(&self, look: impl FnOnce(&Node) -> T) -> T {
        look(&self.model.borrow())
    }

    fn id(&self) -> u64 {
        self.ids.set(self.ids.get() + 1);
        self.ids.get()
    }

    fn accept(self: &Rc<Self>, port: &Rc<Port>, listener: TcpListener) {
        let (node, gateway) = (self.clone(), port.gateway);
        let accepting = spawn_local(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    spawn_local(node.clone().serve(Connection::new(stream), gateway));
                }
            }
        });
        if let Some(before) = port.listening.replace(Some(accepting)) {
            before.abort();
        }
    }

    /// Has the script's deed done, to the model and to the sockets.
    pub fn carry_out(self: &Rc<Self>, deed: Deed) {
        let now = self.day.clock.now();
        let before = self.model.borrow().state();
        carry_out(&mut self.model.borrow_mut(), now, deed);
        let after = self.model.borrow().state();
        self.hear();
        if deed == Deed::Start && after == State::Up {
            self.day.ledger.borrow_mut().record_cold_start(self.number, now);
        }
        if before != after {
            self.follow(before, after);
        }
        self.changed.notify_one();
    }

    /// Makes the ports what the node's state makes of them.
    fn follow(self: &Rc<Self>, before: State, after: State) {
        for port in self.ports.borrow().iter() {
            if let Some(accepting) = port.listening.take() {
                accepting.abort();
            }
            port.stuffing.take();
            let node = (self.clone(), port.clone());
            spawn_local(async move {
                let (node, port) = node;
                // The task that held the listener drops it when it next comes round.
                tokio::task::yield_now().await;
                if let Err(error) = node.reopen(&port, after) {
                    eprintln!("node {}: {} can't be had again: {error}", node.number, port.address);
                }
            });
        }
        if before == State::Silent {
            self.says.borrow().values().for_each(|say| {
                let _ = say.send(Say::End { reset: true });
            });
        }
    }

    fn reopen(self: &Rc<Self>, port: &Rc<Port>, state: State) -> io::Result<()> {
        match state {
            State::Up | State::Draining => self.accept(port, listen(port.address, BACKLOG)?),
            State::Silent => {
                // The kernel takes in what the queue has room for: with none left, a dial is never answered.
                let listener = listen(port.address, 0)?;
                let mut held = Vec::new();
                for _ in 0..2 {
                    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
                    socket.set_nonblocking(true)?;
                    let _ = socket.connect(&port.address.into()); // comes up later, if ever
                    held.push(TcpStream::from_std(socket.into())?);
                }
                port.stuffing.replace(Some((listener, held)));
            }
            State::Down | State::Fallen => {}
        }
        Ok(())
    }

    /// Drives the model for as long as the run lasts.
    async fn run(self: Rc<Self>) {
        loop {
            let next = self.model.borrow().next();
            let due = async {
                match next {
                    Some(at) => sleep_until(self.day.clock.instant(at)).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = due => {}
                () = self.changed.notified() => {}
            }
            self.model.borrow_mut().advance(self.day.clock.now());
            self.hear();
        }
    }

    /// Passes on what the model has to say.
    fn hear(&self) {
        let now = self.day.clock.now();
        let outputs: Vec<Output> = self.model.borrow_mut().outputs().collect();
        for output in outputs {
            match output {
                Output::Began { attempt } => self.day.ledger.borrow_mut().record_start(attempt, now),
                Output::Answered { attempt, connection, answer, report } => {
                    if let Answer::Served { dropped: true } = answer {
                        self.day.count(|c| c.repeats_dropped += 1);
                    }
                    self.tell(connection, Say::Answer { attempt, answer, report });
                }
                Output::Ended { connection, attempt } => {
                    if let Some(attempt) = attempt {
                        self.day.ledger.borrow_mut().record_end(attempt, now, AttemptEnd::Broken);
                    }
                    // A process that dies resets its connections; an idle one is closed.
                    let dead = !matches!(self.model.borrow().state(), State::Up | State::Draining);
                    self.tell(connection, Say::End { reset: dead || attempt.is_some() });
                }
                Output::FellOver => {
                    self.day.count(|c| c.fallen += 1);
                    self.day.ledger.borrow_mut().record_fall(self.number, now);
                    (self.fell)(self.number, now);
                    for port in self.ports.borrow().iter() {
                        if let Some(accepting) = port.listening.take() {
                            accepting.abort();
                        }
                    }
                }
            }
        }
    }

    fn tell(&self, connection: ConnectionId, what: Say) {
        if let Some(say) = self.says.borrow().get(&connection) {
            let _ = say.send(what); // its task may have just ended
        }
    }

    /// A request has come whole on a connection.
    pub fn submit(&self, connection: ConnectionId, attempt: AttemptId, work: Work) {
        self.model.borrow_mut().request(self.day.clock.now(), connection, attempt, work);
        self.hear();
        self.changed.notify_one();
    }

    /// One connection, from its dial to its end.
    async fn serve(self: Rc<Self>, mut wire: Connection, gateway: usize) {
        let connection = self.id();
        let now = || self.day.clock.now();
        let (say, mut said) = mpsc::unbounded_channel();
        let up = self.model.borrow_mut().connect(now(), connection);
        self.hear();
        if !up {
            return wire.reset_on_drop();
        }
        self.says.borrow_mut().insert(connection, say);
        self.changed.notify_one();
        self.day.count(|c| c.connections += 1);
        let out = self.talk(&mut wire, &mut said, connection, gateway).await;
        self.says.borrow_mut().remove(&connection);
        if let Some(attempt) = out {
            // A machine that is cut off does not see that the other side has gone.
            self.day.ledger.borrow_mut().record_end(attempt, now(), AttemptEnd::Left);
        }
        self.model.borrow_mut().disconnect(now(), connection);
        self.hear();
        self.changed.notify_one();
    }

    /// Talks until the connection ends; gives the attempt that was out then.
    async fn talk(
        &self,
        wire: &mut Connection,
        said: &mut mpsc::UnboundedReceiver<Say>,
        connection: ConnectionId,
        gateway: usize,
    ) -> Option<AttemptId> {
        let now = || self.day.clock.now();
        loop {
            let attempt = self.id();
            let reading = wire.read(Kind::Request, now, |head, first| {
                // A request with no number is nobody's; a node says so and books nothing.
                if let Some(number) = number(head.header("x-request-id")) {
                    self.note(number, attempt, gateway, first);
                }
            });
            let request = tokio::select! {
                biased;
                word = said.recv() => {
                    if let Some(Say::End { reset: true }) = word {
                        wire.reset_on_drop();
                    }
                    return None;
                }
                request = reading => match request {
                    Ok(request) => request,
                    Err(ReadError::Ended { partly }) => {
                        if partly {
                            self.day.ledger.borrow_mut().record_end(attempt, now(), AttemptEnd::Unsent);
                        }
                        return None;
                    }
                    Err(ReadError::Malformed(_)) => {
                        let _ = wire.write(b"HTTP/1.1 400 X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n").await;
                        return None;
                    }
                },
            };
            if self.model.borrow().state() == State::Silent {
                // Its machine is cut off: what comes has reached nobody. Only a reset ends this.
                self.day.ledger.borrow_mut().record_end(attempt, now(), AttemptEnd::Unsent);
                while !matches!(said.recv().await, Some(Say::End { .. }) | None) {}
                wire.reset_on_drop();
                return None;
            }
            self.day.ledger.borrow_mut().record_whole_attempt(attempt, now());
            let number = number(request.header("x-request-id"));
            let work = number.and_then(|n| self.work(n, request.header("x-timeout")).map(|work| (n, work)));
            let Some((number, work)) = work else {
                self.day.ledger.borrow_mut().record_end(attempt, now(), AttemptEnd::Error);
                let status = if number.is_some() { 400 } else { 404 };
                let text = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
                if wire.write(text.as_bytes()).await.is_err() {
                    return None;
                }
                continue;
            };
            self.day.count(|c| c.attempts += 1);
            self.submit(connection, attempt, work);
            let word = loop {
                tokio::select! {
                    biased;
                    word = said.recv() => break word,
                    more = wire.more() => if !more {
                        return Some(attempt);
                    }
                }
            };
            match word {
                Some(Say::Answer { attempt, answer, report }) => {
                    let how = match answer {
                        Answer::Served { .. } => AttemptEnd::Served,
                        Answer::Error => AttemptEnd::Error,
                        Answer::TurnedAway(_) => AttemptEnd::TurnedAway,
                    };
                    // Booked before it is written: from then on the gateway may know.
                    self.day.ledger.borrow_mut().record_end(attempt, now(), how);
                    let text = answer_text(answer, report, number, attempt);
                    if wire.write(text.as_bytes()).await.is_err() {
                        return None;
                    }
                }
                Some(Say::End { reset }) => {
                    if reset {
                        wire.reset_on_drop();
                    }
                    return None;
                }
                None => return None,
            }
        }
    }

    fn note(&self, number: u64, attempt: AttemptId, gateway: usize, first_byte_at: Duration) {
        let work_s = self.work(number, None).map_or(0.0, |w| w.seconds);
        let (node, last_byte_at, started_at, end) = (self.number, None, None, None);
        let seen =
            ObservedAttempt { attempt, node, gateway, first_byte_at, last_byte_at, started_at, end, work_s };
        self.day.ledger.borrow_mut().record_attempt(number, seen);
    }

    /// What a request asks of this node; none where no client sent it.
    fn work(&self, number: u64, timeout: Option<&str>) -> Option<Work> {
        let place = *self.day.places.borrow().get(&number)?;
        let asked = self.day.plan.get(place)?;
        let class = self.day.script.classes.get(asked.class)?;
        let keyed = match class.idempotency {
            Idempotency::IdempotencyKey { scope: group, window } => Some((asked.key, group, window)),
            _ => None,
        };
        let wait = timeout.and_then(wait).unwrap_or(class.deadline);
        let until = self.day.clock.now() + wait;
        let seconds = attempt_seconds(self.day.draws, class, asked, self.number as u64);
        Some(Work { request: number, seconds, subject: asked.subject, keyed, until })
    }
}

/// A request's number from its header.
pub fn number(header: Option<&str>) -> Option<u64> {
    u64::from_str_radix(header?, 16).ok()
}

/// A time to wait, as the protocol writes it: `m` for milliseconds or `u` for microseconds.
fn wait(text: &str) -> Option<Duration> {
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
        Answer::TurnedAway(why) => {
            let status = if why == Refusal::Expired { 504 } else { 503 };
            format!("HTTP/1.1 {status} Not Now\r\n{load}X-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
        }
    }
}
