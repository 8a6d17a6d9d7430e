//! Runs a small gateway with one fault at a time; the checker has to report exactly that fault. If the checker missed
//! violations, no other test on the test bed would prove anything.

use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};
use weldworks_testbed::checker::Rule;
use weldworks_testbed::live::gateways::{RunningGateway, StartGateway, Starting, Stopping};
use weldworks_testbed::live::http::{Connection, First, Kind, Message};
use weldworks_testbed::replay::replay;
use weldworks_testbed::report::Report;
use weldworks_testbed::script::Script;

/// A fault of the small gateway, which the checker has to find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    AnswersTwice,
    SendsTwoAttempts,
    SendsToDrained,
    HoldsBack,
    SwapsBodies,
    SendsAfterAnswer,
    RetriesKeyedInOtherRack,
    RejectsPossiblyProcessed,
    NeverAnswers,
}

struct Mutant(Fault);

struct Running(SocketAddr);

impl StartGateway for Mutant {
    fn start<'a>(&'a self, _gateway: usize, config: Value) -> Starting<'a> {
        Box::pin(async move {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("the gateway's port was not opened");
            let address = listener.local_addr().expect("the listener has no address");
            let proxy = Rc::new(Proxy::new(self.0, &config));
            spawn_local(proxy.clone().poll_discovery());
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    spawn_local(proxy.clone().serve(Connection::new(stream)));
                }
            });
            Ok(Box::new(Running(address)) as Box<dyn RunningGateway>)
        })
    }
}

impl RunningGateway for Running {
    fn address(&self) -> SocketAddr {
        self.0
    }

    fn ended(&mut self) -> Option<String> {
        None
    }

    fn cpu(&self) -> Option<Duration> {
        None
    }

    fn stop<'a>(&'a mut self) -> Stopping<'a> {
        Box::pin(async { Ok(()) })
    }
}

/// The small gateway: sends each request to one of the endpoints in turn, on a new connection and without retries.
/// Each [`Fault`] makes the small gateway deviate from that in one way.
struct Proxy {
    fault: Fault,
    discovery: SocketAddr,
    endpoints: RefCell<Vec<(SocketAddr, u64)>>,
    turn: Cell<usize>,
    last_body: RefCell<Vec<u8>>,
}

fn listed(list: &Value) -> Vec<(SocketAddr, u64)> {
    let entries = list["endpoints"].as_array().expect("the endpoint list has no array of endpoints");
    let active = entries.iter().filter(|entry| entry["status"] == "active");
    let address_and_rack = |entry: &Value| {
        let address = entry["address"]
            .as_str()
            .expect("an entry has no address")
            .parse()
            .expect("an address is invalid");
        (address, entry["group"].as_u64().expect("an entry has no group"))
    };
    active.map(address_and_rack).collect()
}

fn text(message: &Message) -> Vec<u8> {
    let First::Request { method, path } = &message.first else { return Vec::new() };
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    message.headers.iter().for_each(|(name, value)| text += &format!("{name}: {value}\r\n"));
    [text.as_bytes(), b"\r\n", &message.body].concat()
}

impl Proxy {
    fn new(fault: Fault, config: &Value) -> Proxy {
        let discovery = config["discovery"]
            .as_str()
            .expect("the configuration has no discovery address")
            .parse()
            .expect("the discovery address is invalid");
        let endpoints = RefCell::new(listed(&config["known"]));
        Proxy { fault, discovery, endpoints, turn: Cell::default(), last_body: RefCell::default() }
    }

    async fn poll_discovery(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(100)).await;
            let Ok(stream) = TcpStream::connect(self.discovery).await else { continue };
            let mut connection = Connection::new(stream);
            let sent = connection.write(b"GET /registry/instances HTTP/1.1\r\nHost: r\r\n\r\n").await;
            let answer = connection.read(Kind::Answer, || Duration::ZERO, |_, _| {}).await;
            if let (Ok(()), Ok(answer)) = (sent, answer) {
                let list = serde_json::from_slice(&answer.body).expect("the endpoint list is not JSON");
                if self.fault != Fault::SendsToDrained {
                    self.endpoints.replace(listed(&list));
                }
            }
        }
    }

    fn next_endpoint(&self, excluded_rack: Option<u64>) -> SocketAddr {
        loop {
            self.turn.set(self.turn.get() + 1);
            let endpoints = self.endpoints.borrow();
            let (address, rack) = endpoints[self.turn.get() % endpoints.len()];
            if Some(rack) != excluded_rack {
                return address;
            }
        }
    }

    fn rack(&self, address: SocketAddr) -> Option<u64> {
        self.endpoints.borrow().iter().find(|endpoint| endpoint.0 == address).map(|endpoint| endpoint.1)
    }

    async fn attempt(&self, to: SocketAddr, request: &[u8]) -> Option<Message> {
        let mut connection = Connection::new(TcpStream::connect(to).await.ok()?);
        connection.write(request).await.ok()?;
        connection.read(Kind::Answer, || Duration::ZERO, |_, _| {}).await.ok()
    }

    async fn serve(self: Rc<Self>, mut connection: Connection) {
        while let Ok(request) = connection.read(Kind::Request, || Duration::ZERO, |_, _| {}).await {
            let arrived_at = Instant::now();
            if matches!(&request.first, First::Request { path, .. } if path == "/health/ready") {
                let _ = connection.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").await;
                continue;
            }
            let micros =
                request.header("x-timeout").and_then(|t| t.strip_suffix('u')).and_then(|t| t.parse().ok());
            let wait = Duration::from_micros(micros.expect("the request has no X-Timeout"));
            let answer = timeout(wait.mul_f64(0.8), self.forward(&request)).await.ok().flatten();
            let served = answer.as_ref().is_some_and(|answer| answer.status() == 200);
            let not_processed =
                answer.as_ref().is_some_and(|answer| answer.header("x-not-processed").is_some());
            let body = answer.map(|answer| answer.body).unwrap_or_default();
            let (status, body) = match served {
                true if self.fault == Fault::SwapsBodies => (200, self.last_body.replace(body)),
                true => (200, body),
                false if not_processed || self.fault == Fault::RejectsPossiblyProcessed => (503, Vec::new()),
                false => (502, Vec::new()),
            };
            if status != 200 && self.fault == Fault::HoldsBack {
                sleep((wait - Duration::from_millis(300)).saturating_sub(arrived_at.elapsed())).await;
            }
            if self.fault == Fault::NeverAnswers && self.turn.get().is_multiple_of(5) {
                sleep(wait * 2).await;
            }
            let head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n", body.len());
            let answer = [head.as_bytes(), &body].concat();
            let answers_twice = self.fault == Fault::AnswersTwice;
            if connection.write(&if answers_twice { answer.repeat(2) } else { answer }).await.is_err() {
                return;
            }
            if self.fault == Fault::SendsAfterAnswer {
                sleep(Duration::from_millis(400)).await;
                self.attempt(self.next_endpoint(None), &text(&request)).await;
            }
        }
    }

    async fn forward(&self, request: &Message) -> Option<Message> {
        let (to, bytes) = (self.next_endpoint(None), text(request));
        match self.fault {
            Fault::SendsTwoAttempts => {
                let (first, _) =
                    tokio::join!(self.attempt(to, &bytes), self.attempt(self.next_endpoint(None), &bytes));
                first
            }
            Fault::RetriesKeyedInOtherRack => {
                let first = self.attempt(to, &bytes).await;
                match first {
                    Some(answer) if answer.status() == 200 => Some(answer),
                    _ => self.attempt(self.next_endpoint(self.rack(to)), &bytes).await,
                }
            }
            _ => self.attempt(to, &bytes).await,
        }
    }
}

/// The rules that the checker finds violated in a run of this length with a gateway that has this fault.
fn found(fault: Fault, lasts: &str, event: &str) -> BTreeSet<Rule> {
    run_with_fault(fault, lasts, event).violations.iter().map(|violation| violation.rule).collect()
}

fn run_with_fault(fault: Fault, lasts: &str, event: &str) -> Report {
    let text = format!(
        r#"
        name = "mutant"
        lasts = "{lasts}"
        [fleet]
        gateways = 1
        nodes = 6
        rack = 1
        error_rate = 0.0
        cold_from = 0.02
        cold_for = "60s"
        [load]
        rate = 25
        [clients]
        retries = 0
        [register]
        notice = "50ms"
        [[class]]
        name = "look"
        work = "120ms"
        aim = "1500ms"
        deadline = "6s"
        [[class]]
        name = "book"
        work = "120ms"
        aim = "1500ms"
        deadline = "6s"
        effect = "keyed"
        group = "rack"
        window = "5s"
        {event}
        "#
    );
    let script = Script::parse("mutant.toml", &text).expect("the script is invalid");
    let (report, _) = replay(&script, 5, None, &Mutant(fault), &|_, _, _| {}, std::future::pending())
        .expect("the run failed");
    assert!(report.counts.asked > 30, "{:?}", report.counts);
    report
}

const FAILING: &str = "[[event]]\nat = \"200ms\"\nwhat = \"fail\"\npart = 0.5\nshare = 1.0";
const RESTARTING: &str = "[[event]]\nat = \"200ms\"\nwhat = \"restart\"\nnodes = [\"n01\"]\ngone = \"100ms\"";
const DRAINING: &str = "[[event]]\nat = \"200ms\"\nwhat = \"drain\"\nnodes = [\"n01\"]";

fn only(rule: Rule) -> BTreeSet<Rule> {
    BTreeSet::from([rule])
}

#[test]
fn reports_no_violation_of_a_gateway_without_a_fault() {
    assert_eq!(found(Fault::None, "2s", FAILING), BTreeSet::new());
}

#[test]
fn reports_no_violation_when_a_gateway_honours_a_drain() {
    assert_eq!(found(Fault::None, "4s", DRAINING), BTreeSet::new());
}

#[test]
fn reports_a_request_that_is_answered_twice() {
    assert_eq!(found(Fault::AnswersTwice, "2s", ""), only(Rule::AnsweredTwice));
}

#[test]
fn reports_two_attempts_in_flight_at_once() {
    assert!(found(Fault::SendsTwoAttempts, "2s", "").contains(&Rule::TwoCopies));
}

#[test]
fn reports_attempts_sent_to_a_draining_endpoint() {
    assert_eq!(found(Fault::SendsToDrained, "4s", DRAINING), only(Rule::SentToDrained));
}

#[test]
fn reports_a_rejection_that_is_held_back_until_the_deadline() {
    assert_eq!(found(Fault::HoldsBack, "2s", FAILING), only(Rule::HeldBack));
}

#[test]
fn reports_an_answer_with_the_body_of_another_request() {
    assert_eq!(found(Fault::SwapsBodies, "2s", ""), only(Rule::ForeignAnswer));
}

#[test]
fn reports_an_attempt_sent_after_the_final_answer() {
    assert!(found(Fault::SendsAfterAnswer, "2s", "").contains(&Rule::SentAfterAnswer));
}

#[test]
fn reports_a_keyed_request_that_is_retried_in_another_rack() {
    assert_eq!(found(Fault::RetriesKeyedInOtherRack, "2s", FAILING), only(Rule::ResentAgainstClass));
}

#[test]
fn reports_the_rejection_of_a_possibly_processed_request() {
    assert_eq!(found(Fault::RejectsPossiblyProcessed, "2s", FAILING), only(Rule::RefusedAfterRun));
}

#[test]
fn reports_a_request_that_is_never_answered() {
    assert_eq!(found(Fault::NeverAnswers, "1500ms", ""), only(Rule::Unanswered));
}

#[test]
fn reports_a_cold_endpoint_that_falls_over_and_the_endpoint_stays_down() {
    let report = run_with_fault(Fault::None, "4s", RESTARTING);
    let rules: BTreeSet<Rule> = report.violations.iter().map(|violation| violation.rule).collect();
    assert_eq!(rules, only(Rule::PushedOver), "{}", report.to_text());
    assert_eq!((report.violations[0].endpoint, report.counts.fallen), (Some(1), 1));
    let last = report.timeline.last().expect("the timeline is empty");
    assert_eq!((last.down, last.warm), (1, 5), "the endpoint is not down at the end of the run");
}
