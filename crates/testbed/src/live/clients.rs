//! Clients on sockets, and the front that deals their connections to the gateways of a zone.

use super::http::{Connection, Kind, Message, ReadError};
use super::nodes::number;
use super::Day;
use crate::checker::{FinalAnswer, SentRequest};
use crate::client::{next_try, patience, Seen};
use crate::plan::PlannedRequest;
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout_at};
use weldworks_balancer::Idempotency;

/// An answer is waited for so long after the client's time is up: late by a little is told from never.
const LINGER: Duration = Duration::from_millis(60);
/// The front leaves a gateway out so long after it could not be reached.
const LEFT_OUT: Duration = Duration::from_secs(2);
/// Connections that rest, with clients that asked once and keep them, at each gateway.
const KEPT: usize = 40;

/// A gateway, as the front knows it.
#[derive(Debug)]
struct Behind {
    address: SocketAddr,
    zone: usize,
    /// Connections that rest, the one used last at the end, each with the number of its last request.
    idle: RefCell<Vec<(Connection, u64)>>,
    kept: RefCell<VecDeque<(Connection, u64)>>,
    out_until: Cell<Duration>,
}

/// All clients of a run.
#[derive(Debug)]
pub struct Clients {
    day: Rc<Day>,
    gateways: Vec<Behind>,
    open: Cell<usize>,
    lateness: RefCell<Vec<Duration>>,
    tries: RefCell<Vec<Vec<(u64, Duration)>>>,
}

/// What a node writes into the body of an answer.
#[derive(Deserialize)]
struct Made {
    request: String,
    attempt: u64,
}

impl Clients {
    /// Clients of these gateways, which stand in their zones in turn.
    pub fn new(day: Rc<Day>, addresses: &[SocketAddr]) -> Rc<Clients> {
        let behind = |(g, address): (usize, &SocketAddr)| Behind {
            address: *address,
            zone: day.script.zone_of(g),
            idle: RefCell::default(),
            kept: RefCell::default(),
            out_until: Cell::default(),
        };
        let gateways = addresses.iter().enumerate().map(behind).collect();
        let tries = RefCell::new(vec![Vec::new(); day.plan.len()]);
        Rc::new(Clients { day, gateways, open: Cell::new(0), lateness: RefCell::default(), tries })
    }

    /// Sends every first try at its time, whatever became of those before.
    pub async fn run(self: &Rc<Self>) {
        for place in 0..self.day.plan.len() {
            let at = self.day.plan[place].at;
            sleep_until(self.day.clock.instant(at)).await;
            self.open.set(self.open.get() + 1);
            let clients = self.clone();
            spawn_local(async move {
                clients.ask(place).await;
                clients.open.set(clients.open.get() - 1);
            });
        }
    }

    /// Requests that are open still, their retries included.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// How late each first try was sent.
    pub fn lateness(&self) -> Vec<Duration> {
        self.lateness.borrow().clone()
    }

    /// Every try of every first try, with its number and when it was sent.
    pub fn tries(&self) -> Vec<Vec<(u64, Duration)>> {
        self.tries.borrow().clone()
    }

    /// Looks at every connection that rests for answers that nobody has asked for.
    pub fn look_for_surplus(&self) {
        for gateway in &self.gateways {
            for (wire, number) in gateway.idle.borrow_mut().iter_mut() {
                self.look(wire, *number);
            }
            for (wire, number) in gateway.kept.borrow_mut().iter_mut() {
                self.look(wire, *number);
            }
        }
    }

    /// Whether a connection that rests is of use still. Whatever has come on it is one answer too many.
    fn look(&self, wire: &mut Connection, last: u64) -> bool {
        let open = wire.look();
        if wire.has_surplus() {
            self.day.ledger.borrow_mut().record_answer(last, self.day.clock.now(), FinalAnswer::Foreign);
        }
        open == Some(0)
    }

    /// A first try and all that come after it.
    async fn ask(self: &Rc<Self>, place: usize) {
        let day = &self.day;
        let asked = &day.plan[place];
        let (mut first, mut tries) = (asked.at, 0);
        day.count(|c| c.asked += 1);
        loop {
            let number = asked.number(day.draws, tries);
            day.places.borrow_mut().insert(number, place);
            let sent = day.clock.now();
            if tries == 0 {
                first = sent;
                self.lateness.borrow_mut().push(sent.saturating_sub(asked.at));
            }
            self.tries.borrow_mut()[place].push((number, sent));
            day.count(|c| c.tries += 1);
            let seen = self.ask_once(asked, number, first, tries).await;
            tries += 1;
            let now = day.clock.now();
            match seen {
                Seen::Served => {
                    day.count(|c| c.served += 1);
                    let aim = first + day.script.classes[asked.class].latency_objective;
                    day.in_time.set(day.in_time.get() + u64::from(now <= aim));
                }
                Seen::Refused { .. } => day.count(|c| c.refused += 1),
                Seen::Failed => day.count(|c| c.failed += 1),
                Seen::Unreachable => day.count(|c| c.unreachable += 1),
            }
            match next_try(&day.script, asked, first, tries, seen, now) {
                Some(at) => sleep_until(day.clock.instant(at)).await,
                None => return,
            }
        }
    }

    /// The gateway that the front deals a connection to: of the zone's own, else of any.
    fn deal(&self, asked: &PlannedRequest, number: u64) -> Option<usize> {
        let now = self.day.clock.now();
        let there = |g: &usize| self.gateways[*g].out_until.get() <= now;
        let all: Vec<usize> = (0..self.gateways.len()).filter(there).collect();
        let own: Vec<usize> = all.iter().copied().filter(|g| self.gateways[*g].zone == asked.zone).collect();
        let among = if own.is_empty() { all } else { own };
        among.get(weldworks_balancer::mix(number) as usize % among.len().max(1)).copied()
    }

    async fn ask_once(&self, asked: &PlannedRequest, number: u64, first: Duration, tries: u32) -> Seen {
        let day = &self.day;
        let Some(gateway) = self.deal(asked, number) else { return Seen::Unreachable };
        let behind = &self.gateways[gateway];
        let mut reuse = !asked.new_connection;
        loop {
            let rested = if reuse { self.rested(behind) } else { None };
            let reused = rested.is_some();
            let mut wire = match rested {
                Some(wire) => wire,
                None => {
                    let until = day.clock.instant(day.clock.now() + asked.attempt_timeout);
                    match timeout_at(until, TcpStream::connect(behind.address)).await {
                        Ok(Ok(stream)) => Connection::new(stream),
                        _ => {
                            behind.out_until.set(day.clock.now() + LEFT_OUT);
                            return Seen::Unreachable;
                        }
                    }
                }
            };
            let wait = patience(&day.script, asked, first, day.clock.now());
            let text = request(day, asked, number, wait, tries);
            let written = wire.write(text.as_bytes()).await.is_ok();
            let at = day.clock.now();
            let deadline = at + wait;
            day.ledger
                .borrow_mut()
                .record_request(number, SentRequest { gateway, class: asked.class, sent_at: at, deadline });
            let reading = wire.read(Kind::Answer, || day.clock.now(), |_, _| {});
            let answer = timeout_at(day.clock.instant(deadline + LINGER), reading).await;
            let now = day.clock.now();
            match answer {
                Ok(Ok(answer)) => {
                    let seen = self.took(number, &answer, now);
                    self.put_by(behind, wire, number, asked.new_connection, &answer);
                    return seen;
                }
                // A gateway may close a connection between requests; what crosses that is sent once more.
                Ok(Err(ReadError::Ended { partly: false })) if reused || !written => reuse = false,
                Ok(Err(_)) => {
                    day.ledger.borrow_mut().record_lost_connection(number, now);
                    return Seen::Failed;
                }
                Err(_) => {
                    day.ledger.borrow_mut().record_give_up(number, now);
                    return Seen::Failed;
                }
            }
            if !reused {
                behind.out_until.set(now + LEFT_OUT);
                day.ledger.borrow_mut().record_lost_connection(number, now);
                return Seen::Unreachable;
            }
        }
    }

    /// A connection that rests and is open still.
    fn rested(&self, behind: &Behind) -> Option<Connection> {
        loop {
            let (mut wire, last) = behind.idle.borrow_mut().pop()?;
            if self.look(&mut wire, last) {
                return Some(wire);
            }
        }
    }

    fn put_by(&self, behind: &Behind, wire: Connection, number: u64, fresh: bool, answer: &Message) {
        if answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")) {
            return;
        }
        if !fresh {
            return behind.idle.borrow_mut().push((wire, number));
        }
        let mut kept = behind.kept.borrow_mut();
        kept.push_back((wire, number));
        if kept.len() > KEPT {
            kept.pop_front();
        }
    }

    /// Books an answer.
    fn took(&self, request: u64, answer: &Message, now: Duration) -> Seen {
        let mut ledger = self.day.ledger.borrow_mut();
        match answer.status() {
            200 => {
                let made = serde_json::from_slice::<Made>(&answer.body);
                let own = made.is_ok_and(|made| {
                    number(Some(&made.request)) == Some(request)
                        && ledger.is_attempt_of(made.attempt, request)
                });
                ledger.record_answer(
                    request,
                    now,
                    if own { FinalAnswer::Served } else { FinalAnswer::Foreign },
                );
                Seen::Served
            }
            429 | 503 => {
                ledger.record_answer(request, now, FinalAnswer::Refused);
                let after = answer.header("retry-after").and_then(|a| a.parse().ok());
                let come_back = after.and_then(|s: f64| Duration::try_from_secs_f64(s).ok());
                Seen::Refused { come_back: come_back.filter(|t| !t.is_zero()) }
            }
            _ => {
                ledger.record_answer(request, now, FinalAnswer::Failed);
                Seen::Failed
            }
        }
    }
}

/// A request as the protocol has it.
fn request(day: &Day, asked: &PlannedRequest, number: u64, wait: Duration, tries: u32) -> String {
    let class = &day.script.classes[asked.class];
    let tenant = day.script.tenants.get(asked.tenant).map_or("", |t| t.name.as_str());
    let cookie = asked.subject.map_or(String::new(), |key| format!("Cookie: k={key:016x}\r\n"));
    let retried = if tries > 0 { "X-Retried: 1\r\n" } else { "" };
    let cost = if day.script.clients.send_cost_hints {
        format!("X-Cost: {}\r\n", (asked.work_s * 1e6).round())
    } else {
        String::new()
    };
    let common = format!(
        "Host: backend.local\r\nX-Request-ID: {number:016x}\r\nX-Priority-Class: {name}\r\nX-Tenant-Id: {tenant}\r\n\
         {cookie}{retried}{cost}X-Timeout: {wait}u\r\n",
        name = class.name,
        wait = wait.as_micros()
    );
    let body = format!("{{\"place\":{}}}", asked.index);
    let length = body.len();
    match class.idempotency {
        Idempotency::Idempotent => format!("GET /{} HTTP/1.1\r\n{common}\r\n", class.name),
        Idempotency::IdempotencyKey { .. } => format!(
            "POST /{} HTTP/1.1\r\n{common}Idempotency-Key: {:016x}\r\nContent-Length: {length}\r\n\r\n{body}",
            class.name, asked.key
        ),
        Idempotency::NotIdempotent => {
            format!("POST /{} HTTP/1.1\r\n{common}Content-Length: {length}\r\n\r\n{body}", class.name)
        }
    }
}
