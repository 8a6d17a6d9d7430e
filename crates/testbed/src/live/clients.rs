//! Clients on sockets, and the front load balancer, which distributes their connections over the gateways of a zone.

use super::endpoints::parse_request_number;
use super::http::{Connection, Kind, Message, ReadError};
use super::RunState;
use crate::checker::{FinalAnswer, SentRequest};
use crate::client::{client_timeout, next_retry, ClientOutcome};
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

/// Time after the client's timeout for which an answer is still read, so that a slightly late answer can be told from none.
const LATE_ANSWER_WAIT: Duration = Duration::from_millis(60);
/// Time for which the front load balancer sends no requests to a gateway that could not be reached.
const UNREACHABLE_EXCLUSION: Duration = Duration::from_secs(2);
/// Idle connections kept open for each gateway by clients that send one request per connection.
const MAX_UNUSED_CONNECTIONS: usize = 40;

/// A gateway as the front load balancer knows it.
#[derive(Debug)]
struct FrontTarget {
    address: SocketAddr,
    zone: usize,
    /// Idle connections that are used again, each with the number of its last request; the connection used last is at the end.
    idle: RefCell<Vec<(Connection, u64)>>,
    /// Connections that clients keep open and do not use again, each with the number of its last request.
    unused_connections: RefCell<VecDeque<(Connection, u64)>>,
    /// Until when the front load balancer sends this gateway no requests.
    excluded_until: Cell<Duration>,
}

/// The clients of a run, together with the front load balancer that distributes their requests.
#[derive(Debug)]
pub struct Clients {
    run: Rc<RunState>,
    gateways: Vec<FrontTarget>,
    open: Cell<usize>,
    lateness: RefCell<Vec<Duration>>,
    sends: RefCell<Vec<Vec<(u64, Duration)>>>,
}

/// The body of an answer, as a stand-in endpoint writes it.
#[derive(Deserialize)]
struct AnswerBody {
    request: String,
    attempt: u64,
}

impl Clients {
    /// Clients of the gateways at these addresses, which are assigned to the zones in turn.
    pub fn new(run: Rc<RunState>, addresses: &[SocketAddr]) -> Rc<Clients> {
        let target = |(gateway, address): (usize, &SocketAddr)| FrontTarget {
            address: *address,
            zone: run.script.zone_of(gateway),
            idle: RefCell::default(),
            unused_connections: RefCell::default(),
            excluded_until: Cell::default(),
        };
        let gateways = addresses.iter().enumerate().map(target).collect();
        let sends = RefCell::new(vec![Vec::new(); run.plan.len()]);
        Rc::new(Clients { run, gateways, open: Cell::new(0), lateness: RefCell::default(), sends })
    }

    /// Sends every planned request at its time, regardless of the outcomes of earlier requests.
    pub async fn run(self: &Rc<Self>) {
        for plan_index in 0..self.run.plan.len() {
            let at = self.run.plan[plan_index].at;
            sleep_until(self.run.clock.instant(at)).await;
            self.open.set(self.open.get() + 1);
            let clients = self.clone();
            spawn_local(async move {
                clients.send_with_retries(plan_index).await;
                clients.open.set(clients.open.get() - 1);
            });
        }
    }

    /// Number of planned requests that have not ended, retries included.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// How late each planned request was first sent.
    pub fn lateness(&self) -> Vec<Duration> {
        self.lateness.borrow().clone()
    }

    /// For every planned request, the numbers and times of the requests sent for it.
    pub fn sends(&self) -> Vec<Vec<(u64, Duration)>> {
        self.sends.borrow().clone()
    }

    /// Checks all idle connections for answers to no request.
    pub fn check_idle_connections(&self) {
        for gateway in &self.gateways {
            for (connection, number) in gateway.idle.borrow_mut().iter_mut() {
                self.check_idle(connection, *number);
            }
            for (connection, number) in gateway.unused_connections.borrow_mut().iter_mut() {
                self.check_idle(connection, *number);
            }
        }
    }

    /// Whether an idle connection can be used again. Bytes received on an idle connection are recorded as an answer to no request.
    fn check_idle(&self, connection: &mut Connection, last: u64) -> bool {
        let received = connection.read_available();
        if connection.has_surplus() {
            self.run.checker.borrow_mut().record_answer(last, self.run.clock.now(), FinalAnswer::Foreign);
        }
        received == Some(0)
    }

    /// Sends a planned request and its retries.
    async fn send_with_retries(self: &Rc<Self>, plan_index: usize) {
        let run = &self.run;
        let planned = &run.plan[plan_index];
        let (mut first, mut retries) = (planned.at, 0);
        run.count(|counts| counts.asked += 1);
        loop {
            let number = planned.number(run.draws, retries);
            run.plan_indices.borrow_mut().insert(number, plan_index);
            let sent = run.clock.now();
            if retries == 0 {
                first = sent;
                self.lateness.borrow_mut().push(sent.saturating_sub(planned.at));
            }
            self.sends.borrow_mut()[plan_index].push((number, sent));
            run.count(|counts| counts.client_attempts += 1);
            let outcome = self.send_once(planned, number, first, retries).await;
            retries += 1;
            let now = run.clock.now();
            match outcome {
                ClientOutcome::Served => {
                    run.count(|counts| counts.served += 1);
                    let in_time_until = first + run.script.classes[planned.class].latency_objective;
                    run.in_time.set(run.in_time.get() + u64::from(now <= in_time_until));
                }
                ClientOutcome::Rejected { .. } => run.count(|counts| counts.refused += 1),
                ClientOutcome::Failed => run.count(|counts| counts.failed += 1),
                ClientOutcome::Unreachable => run.count(|counts| counts.unreachable += 1),
            }
            match next_retry(&run.script, planned, first, retries, outcome, now) {
                Some(at) => sleep_until(run.clock.instant(at)).await,
                None => return,
            }
        }
    }

    /// The gateway to which the front load balancer sends a request: a reachable gateway of the request's zone, or of any zone if it has none.
    fn choose_gateway(&self, planned: &PlannedRequest, number: u64) -> Option<usize> {
        let now = self.run.clock.now();
        let is_available = |gateway: &usize| self.gateways[*gateway].excluded_until.get() <= now;
        let all: Vec<usize> = (0..self.gateways.len()).filter(is_available).collect();
        let in_zone: Vec<usize> =
            all.iter().copied().filter(|gateway| self.gateways[*gateway].zone == planned.zone).collect();
        let candidates = if in_zone.is_empty() { all } else { in_zone };
        candidates.get(weldworks_balancer::mix(number) as usize % candidates.len().max(1)).copied()
    }

    async fn send_once(
        &self,
        planned: &PlannedRequest,
        number: u64,
        first: Duration,
        retries: u32,
    ) -> ClientOutcome {
        let run = &self.run;
        let Some(gateway) = self.choose_gateway(planned, number) else { return ClientOutcome::Unreachable };
        let target = &self.gateways[gateway];
        let mut reuse = !planned.new_connection;
        loop {
            let idle = if reuse { self.take_idle(target) } else { None };
            let reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => {
                    let until = run.clock.instant(run.clock.now() + planned.attempt_timeout);
                    match timeout_at(until, TcpStream::connect(target.address)).await {
                        Ok(Ok(stream)) => Connection::new(stream),
                        _ => {
                            target.excluded_until.set(run.clock.now() + UNREACHABLE_EXCLUSION);
                            return ClientOutcome::Unreachable;
                        }
                    }
                }
            };
            let wait = client_timeout(&run.script, planned, first, run.clock.now());
            let text = request(run, planned, number, wait, retries);
            let written = connection.write(text.as_bytes()).await.is_ok();
            let at = run.clock.now();
            let deadline = at + wait;
            run.checker
                .borrow_mut()
                .record_request(number, SentRequest { gateway, class: planned.class, sent_at: at, deadline });
            let reading = connection.read(Kind::Answer, || run.clock.now(), |_, _| {});
            let answer = timeout_at(run.clock.instant(deadline + LATE_ANSWER_WAIT), reading).await;
            let now = run.clock.now();
            match answer {
                Ok(Ok(answer)) => {
                    let outcome = self.record_answer(number, &answer, now);
                    self.keep_connection(target, connection, number, planned.new_connection, &answer);
                    return outcome;
                }
                // A gateway may close a connection between requests. A request that is sent at that moment is sent again on a new connection.
                Ok(Err(ReadError::Ended { partly: false })) if reused || !written => reuse = false,
                Ok(Err(_)) => {
                    run.checker.borrow_mut().record_lost_connection(number, now);
                    return ClientOutcome::Failed;
                }
                Err(_) => {
                    run.checker.borrow_mut().record_give_up(number, now);
                    return ClientOutcome::Failed;
                }
            }
            if !reused {
                target.excluded_until.set(now + UNREACHABLE_EXCLUSION);
                run.checker.borrow_mut().record_lost_connection(number, now);
                return ClientOutcome::Unreachable;
            }
        }
    }

    /// Takes an idle connection that is still open.
    fn take_idle(&self, target: &FrontTarget) -> Option<Connection> {
        loop {
            let (mut connection, last) = target.idle.borrow_mut().pop()?;
            if self.check_idle(&mut connection, last) {
                return Some(connection);
            }
        }
    }

    fn keep_connection(
        &self,
        target: &FrontTarget,
        connection: Connection,
        number: u64,
        uses_new_connection: bool,
        answer: &Message,
    ) {
        if answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close")) {
            return;
        }
        if !uses_new_connection {
            return target.idle.borrow_mut().push((connection, number));
        }
        let mut unused_connections = target.unused_connections.borrow_mut();
        unused_connections.push_back((connection, number));
        if unused_connections.len() > MAX_UNUSED_CONNECTIONS {
            unused_connections.pop_front();
        }
    }

    /// Records an answer in the checker and returns its outcome for the client.
    fn record_answer(&self, request: u64, answer: &Message, now: Duration) -> ClientOutcome {
        let mut checker = self.run.checker.borrow_mut();
        match answer.status() {
            200 => {
                let body = serde_json::from_slice::<AnswerBody>(&answer.body);
                let is_own = body.is_ok_and(|body| {
                    parse_request_number(Some(&body.request)) == Some(request)
                        && checker.is_attempt_of(body.attempt, request)
                });
                checker.record_answer(
                    request,
                    now,
                    if is_own { FinalAnswer::Served } else { FinalAnswer::Foreign },
                );
                ClientOutcome::Served
            }
            429 | 503 => {
                checker.record_answer(request, now, FinalAnswer::Refused);
                let header_value = answer.header("retry-after").and_then(|text| text.parse().ok());
                let retry_after =
                    header_value.and_then(|seconds: f64| Duration::try_from_secs_f64(seconds).ok());
                ClientOutcome::Rejected { retry_after: retry_after.filter(|delay| !delay.is_zero()) }
            }
            _ => {
                checker.record_answer(request, now, FinalAnswer::Failed);
                ClientOutcome::Failed
            }
        }
    }
}

/// The text of a request in the platform's protocol.
fn request(run: &RunState, planned: &PlannedRequest, number: u64, wait: Duration, retries: u32) -> String {
    let class = &run.script.classes[planned.class];
    let tenant = run.script.tenants.get(planned.tenant).map_or("", |tenant| tenant.name.as_str());
    let cookie = planned.subject.map_or(String::new(), |key| format!("Cookie: k={key:016x}\r\n"));
    let retry_header = if retries > 0 { "X-Retried: 1\r\n" } else { "" };
    let cost = if run.script.clients.send_cost_hints {
        format!("X-Cost: {}\r\n", (planned.work_s * 1e6).round())
    } else {
        String::new()
    };
    let common = format!(
        "Host: backend.local\r\nX-Request-ID: {number:016x}\r\nX-Priority-Class: {name}\r\nX-Tenant-Id: {tenant}\r\n\
         {cookie}{retry_header}{cost}X-Timeout: {wait}u\r\n",
        name = class.name,
        wait = wait.as_micros()
    );
    let body = format!("{{\"place\":{}}}", planned.index);
    let length = body.len();
    match class.idempotency {
        Idempotency::Idempotent => format!("GET /{} HTTP/1.1\r\n{common}\r\n", class.name),
        Idempotency::IdempotencyKey { .. } => format!(
            "POST /{} HTTP/1.1\r\n{common}Idempotency-Key: {:016x}\r\nContent-Length: {length}\r\n\r\n{body}",
            class.name, planned.key
        ),
        Idempotency::NotIdempotent => {
            format!("POST /{} HTTP/1.1\r\n{common}Content-Length: {length}\r\n\r\n{body}", class.name)
        }
    }
}
